/** Records what was received of the body of a response, for the log. */
import type { EventFields } from "../observe/event_log.ts";
import type { Answer } from "../upstreams/call.ts";
import type { EventScanner } from "./event_scanner.ts";

/** The body of one response. */
export class BodyRecord {
  readonly #answer: Answer;
  readonly #scanner: EventScanner | undefined;
  readonly #replicaAddress: string;
  #bytes = 0;

  /** `scanner` scans the events of a stream. */
  constructor(
    answer: Answer,
    { scanner, replicaAddress }: {
      readonly scanner: EventScanner | undefined;
      readonly replicaAddress: string;
    },
  ) {
    this.#answer = answer;
    this.#scanner = scanner;
    this.#replicaAddress = replicaAddress;
    answer.message.on("data", (bytes: Buffer) => {
      this.#bytes += bytes.length;
    });
  }

  /**
   * The framing, the size and the peer that it came through, if any; for a stream
   * its events, too.
   */
  fields(): EventFields {
    const { framing, remoteAddress } = this.#answer;
    const peer = remoteAddress === this.#replicaAddress
      ? undefined
      : remoteAddress;
    const fields = { framing, bytes: this.#bytes, peer };
    if (!this.#scanner) return fields;
    return {
      ...fields,
      events: this.#scanner.events,
      inside_event: this.#scanner.isInsideEvent || undefined,
    };
  }
}
