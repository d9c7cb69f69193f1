/**
 * Broadcasts updates to the hosts at the other ends of this host's links, and
 * forwards the updates that arrive from them. The links form a tree over all
 * hosts that can reach each other, so an update passes each link once.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Link } from "./link.ts";

/** Options of the broadcaster of one kind of update. */
export type UpdateBroadcasterOptions<Update> = {
  readonly clock: Clock;
  /**
   * Minimum time between two broadcasts. The first update is sent at once;
   * updates within this time after it are batched, which limits the messages
   * per link when many replicas change at once.
   */
  readonly batchMs: Milliseconds;
  /** The links that are open. */
  readonly links: () => readonly Link[];
  /** Everything known to this host, as one update. */
  readonly all: () => Update;
  /** Merges updates, which are ordered with the newest last. */
  readonly merge: (updates: readonly Update[]) => Update;
  /** The messages for other hosts; none if the update is empty. */
  readonly encode: (update: Update) => readonly object[];
};

/** Broadcasts one kind of update over all links. */
export class UpdateBroadcaster<Update> {
  readonly #options: UpdateBroadcasterOptions<Update>;
  #pending: { readonly update: Update; readonly from: unknown }[] = [];
  #flushedAt: Milliseconds = -Infinity;

  constructor(options: UpdateBroadcasterOptions<Update>) {
    this.#options = options;
  }

  /** Sends everything known over a link that has just been opened. */
  sendAll(link: Link): void {
    this.#send(link, this.#options.all());
  }

  /**
   * Broadcasts an update, except over the link `from` on which it arrived, if
   * any.
   */
  broadcast(update: Update, from: unknown): void {
    this.#pending.push({ update, from });
    if (this.#pending.length > 1) return;
    const { clock, batchMs } = this.#options;
    const waitMs = this.#flushedAt + batchMs - clock.now();
    clock.after(Math.max(0, waitMs), () => this.#flush());
  }

  #flush(): void {
    this.#flushedAt = this.#options.clock.now();
    const pending = this.#pending;
    this.#pending = [];
    for (const link of this.#options.links()) {
      const others = pending.filter(({ from }) => from !== link);
      this.#send(link, this.#options.merge(others.map(({ update }) => update)));
    }
  }

  #send(link: Link, update: Update): void {
    for (const message of this.#options.encode(update)) link.send(message);
  }
}
