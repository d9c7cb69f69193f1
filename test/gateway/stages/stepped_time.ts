/** A clock that advances in steps and lets promises settle in between. */
import type { Clock } from "../../../src/gateway/clock.ts";

const STEP_MS = 100;

type Timer = { readonly at: number; readonly work: () => void };

/** A clock, and a function that advances it. */
export type SteppedTime = {
  readonly clock: Clock;
  advance(forMs: number): Promise<void>;
};

export function steppedTime(): SteppedTime {
  const timers = new Set<Timer>();
  const time = { now: 0 };
  const clock = {
    now: () => time.now,
    after: (delayMs: number, work: () => void) => {
      const timer = { at: time.now + delayMs, work };
      timers.add(timer);
      return () => void timers.delete(timer);
    },
  };
  const advance = async (forMs: number) => {
    for (const end = time.now + forMs; time.now < end;) {
      time.now += STEP_MS;
      for (const timer of [...timers]) {
        if (timer.at > time.now || !timers.delete(timer)) continue;
        timer.work();
      }
      for (let turn = 0; turn < 30; turn++) await Promise.resolve();
    }
  };
  return { clock, advance };
}
