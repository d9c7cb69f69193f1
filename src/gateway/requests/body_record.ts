/** Records what was received of the body of a response, for the log. */
import type { EventFields } from "../observe/event_log.ts";
import type { Answer } from "../upstreams/call.ts";
import type { EventScanner } from "./event_scanner.ts";
import { firstIdOf } from "./event_splitter.ts";

/** Maximum number of characters logged of an event's id. */
export const MAX_ID_CHARS = 40;

/** The body of one response. */
export class BodyRecord {
  readonly #answer: Answer;
  readonly #scanner: EventScanner | undefined;
  #bytes = 0;
  #firstId: string | undefined;

  /** `scanner` scans the events of a stream. */
  constructor(answer: Answer, scanner: EventScanner | undefined) {
    this.#answer = answer;
    this.#scanner = scanner;
    answer.message.on("data", (bytes: Buffer) => {
      if (scanner && this.#bytes === 0) this.#firstId = firstIdOf(bytes);
      this.#bytes += bytes.length;
    });
  }

  /**
   * The framing, the size and the peer that it came through, if any; for a stream
   * its events and the id of the first one, too.
   */
  fields(): EventFields {
    const { framing, peer } = this.#answer;
    const fields = { framing, bytes: this.#bytes, peer: peer?.address };
    if (!this.#scanner) return fields;
    return {
      ...fields,
      events: this.#scanner.events,
      first_id: this.#firstId?.slice(0, MAX_ID_CHARS),
      inside_event: this.#scanner.isInsideEvent || undefined,
    };
  }
}
