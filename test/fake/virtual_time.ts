/** Time that passes only when a test says so. */
import type { Clock } from "../../src/gateway/clock.ts";
import { TimeQueue } from "./queue.ts";

/** Things to do at points of time, and a clock that follows them. */
export class VirtualTime {
  readonly #queue = new TimeQueue();
  #now = 0;

  /** The clock of everything that runs in this time. */
  readonly clock: Clock = {
    now: () => this.#now,
    after: (delayMs, work) => this.at(this.#now + Math.max(0, delayMs), work),
  };

  get now(): number {
    return this.#now;
  }

  /** Does something at a time; the result cancels it. */
  at(time: number, run: () => void): () => void {
    let isDue = true;
    this.#queue.push(time, () => isDue && run());
    return () => isDue = false;
  }

  /** Goes on to a time. */
  async runTo(time: number): Promise<void> {
    while (this.#queue.nextAt <= time) {
      const item = this.#queue.pop();
      if (!item) break;
      this.#now = item.at;
      item.run();
      // Lets promises that were resolved take all their next steps.
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#now = time;
  }
}
