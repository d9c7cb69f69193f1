/** A clock that advances only when a test requires it. */
import type { Clock } from "../../src/gateway/clock.ts";
import { TimeQueue } from "./queue.ts";

/** Virtual time: a clock and the callbacks that are scheduled on it. */
export class VirtualTime {
  readonly #queue = new TimeQueue();
  #now = 0;

  /** The clock for code under test. */
  readonly clock: Clock = {
    now: () => this.#now,
    after: (delayMs, work) => this.at(this.#now + Math.max(0, delayMs), work),
  };

  get now(): number {
    return this.#now;
  }

  /** Schedules `run` at a time; the result cancels it. */
  at(time: number, run: () => void): () => void {
    let isPending = true;
    this.#queue.push(time, () => isPending && run());
    return () => isPending = false;
  }

  /** Advances to a time and runs the callbacks that are due. */
  async runTo(time: number): Promise<void> {
    while (this.#queue.nextAt <= time) {
      const item = this.#queue.pop();
      if (!item) break;
      this.#now = item.at;
      item.run();
      // Runs the continuations of resolved promises.
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#now = time;
  }
}
