/** A machine that sleeps, with the clocks that its processes can read. */
import { createElapsedClock } from "../../src/gateway/elapsed_clock.ts";
import type { Clock } from "../../src/gateway/clock.ts";
import { SuspensionWatch } from "../../src/gateway/suspension.ts";
import { TimeQueue } from "../fake/queue.ts";

const CHECK_INTERVAL_MS = 1000;

/** Options of {@link SleepingMachine}. */
export type SleepingMachineOptions = {
  /** Rate of the clock that counts suspensions; 0: it can't be read. */
  readonly bootRate?: number;
};

/** Timers fire by the monotonic clock, which stops while the machine sleeps. */
export class SleepingMachine {
  readonly suspensions: SuspensionWatch;
  /** The clock under test. */
  readonly clock: Clock;
  readonly suspended: { forMs: number; isConfirmed: boolean }[] = [];
  readonly #queue = new TimeQueue();
  #monotonicMs = 0;
  #sleptMs = 0;
  #wallStepMs = 0;

  constructor({ bootRate = 1 }: SleepingMachineOptions = {}) {
    const monotonic: Clock = {
      now: () => this.#monotonicMs,
      after: (delayMs, callback) => this.#after(delayMs, callback),
    };
    this.suspensions = new SuspensionWatch({
      monotonicNow: monotonic.now,
      wallClockNow: () => 5e11 + this.trueNow + this.#wallStepMs,
      bootNow: () => bootRate === 0 ? undefined : 7e6 + this.trueNow * bootRate,
    });
    this.clock = createElapsedClock(monotonic, this.suspensions);
    this.suspensions.addListener((forMs, isConfirmed) =>
      this.suspended.push({ forMs, isConfirmed })
    );
    this.#scheduleCheck(monotonic);
  }

  /** The time that has really passed. */
  get trueNow(): number {
    return this.#monotonicMs + this.#sleptMs;
  }

  /** Runs for a time, awake. */
  run(forMs: number): void {
    const endMs = this.#monotonicMs + forMs;
    while (this.#queue.nextAt <= endMs) {
      const item = this.#queue.pop();
      if (!item) break;
      this.#monotonicMs = item.at;
      item.run();
    }
    this.#monotonicMs = endMs;
  }

  /** Sleeps; nothing runs meanwhile, and the wall clock may be stepped. */
  sleep(forMs: number, wallStepMs = 0): void {
    this.#sleptMs += forMs;
    this.#wallStepMs += wallStepMs;
  }

  #after(delayMs: number, callback: () => void): () => void {
    let isPending = true;
    const at = this.#monotonicMs + Math.max(0, delayMs);
    this.#queue.push(at, () => isPending && callback());
    return () => isPending = false;
  }

  #scheduleCheck(monotonic: Clock): void {
    monotonic.after(CHECK_INTERVAL_MS, () => {
      this.suspensions.checkAll();
      this.#scheduleCheck(monotonic);
    });
  }
}
