/** Counts the messages of links and their bytes by path and type. */
import type { Metrics } from "../observe/metrics.ts";

/** The direction of a message as seen by this host. */
export const LinkDirection = {
  sent: "sent",
  received: "received",
} as const;
/** One of the values of {@link LinkDirection}. */
export type LinkDirection = typeof LinkDirection[keyof typeof LinkDirection];

/** The type stands first in all messages of a link. */
const TYPE_PREFIX = /^\{"type":"([a-z]{1,16})"/;
const UNKNOWN_TYPE = "unknown";

/** The messages of one link. */
export class LinkTraffic {
  readonly #path: string;
  readonly #metrics: Pick<Metrics, "countLabelled"> | undefined;

  /** Counts nothing without `metrics`. */
  constructor(
    path: string,
    metrics: Pick<Metrics, "countLabelled"> | undefined,
  ) {
    this.#path = path;
    this.#metrics = metrics;
  }

  note(direction: LinkDirection, line: string): void {
    if (!this.#metrics) return;
    const type = TYPE_PREFIX.exec(line)?.[1] ?? UNKNOWN_TYPE;
    const labels = { path: this.#path, type };
    const bytes = Buffer.byteLength(line);
    this.#metrics.countLabelled(`link_messages_${direction}`, labels, 1);
    this.#metrics.countLabelled(`link_bytes_${direction}`, labels, bytes);
  }
}
