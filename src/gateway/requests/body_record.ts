/** Records what was received of the body of a response, for the log. */
import type { EventFields } from "../observe/event_log.ts";
import type { Answer } from "../upstreams/call.ts";
import type { EventScanner } from "./event_scanner.ts";

/** The body of one response. */
export class BodyRecord {
  readonly #answer: Answer;
  readonly #scanner: EventScanner | undefined;
  #bytes = 0;

  /** `scanner` scans the events of a stream. */
  constructor(answer: Answer, scanner: EventScanner | undefined) {
    this.#answer = answer;
    this.#scanner = scanner;
    answer.message.on("data", (bytes: Buffer) => {
      this.#bytes += bytes.length;
    });
  }

  /** The framing and the size, and for a stream its events. */
  fields(): EventFields {
    const { framing } = this.#answer;
    if (!this.#scanner) return { framing, bytes: this.#bytes };
    return {
      framing,
      bytes: this.#bytes,
      events: this.#scanner.events,
      inside_event: this.#scanner.isInsideEvent || undefined,
    };
  }
}
