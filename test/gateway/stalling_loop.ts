/** An event loop that stalls, with a clock of its own. */
import type { Clock } from "../../src/gateway/clock.ts";

const STALL_MS = 4000;

/** Stalls, and reads what arrives meanwhile after its timers. */
export class StallingLoop {
  #now = 0;
  #timers: { readonly at: number; run(): void }[] = [];
  readonly #arrived: (() => void)[] = [];
  readonly clock: Clock = {
    now: () => this.#now,
    after: (delayMs, run) => {
      const timer = { at: this.#now + delayMs, run };
      this.#timers.push(timer);
      return () => {
        this.#timers = this.#timers.filter((other) => other !== timer);
      };
    },
  };

  /** Resolves to a value that arrives during the next stall. */
  receive<Value>(value: Value): Promise<Value> {
    return new Promise((resolve) => {
      this.#arrived.push(() => resolve(value));
    });
  }

  /** Stalls, and goes on with an iteration of its own for timers and input. */
  async stall(): Promise<void> {
    this.#now += STALL_MS;
    const due = this.#timers.filter(({ at }) => at <= this.#now);
    this.#timers = this.#timers.filter(({ at }) => at > this.#now);
    for (const timer of due) timer.run();
    await new Promise((resolve) => setImmediate(resolve));
    for (const receive of this.#arrived.splice(0)) receive();
    await new Promise((resolve) => setImmediate(resolve));
  }
}
