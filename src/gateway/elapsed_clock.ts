/**
 * A clock that goes on while the machine sleeps. Without it, whatever expires
 * would be used for longer than its time by the duration of the sleep.
 */
import type { Milliseconds } from "../util/units.ts";
import type { Clock } from "./clock.ts";
import type { SuspensionWatch } from "./suspension.ts";

type Timer = {
  readonly dueAt: Milliseconds;
  readonly fire: () => void;
  cancel: () => void;
};

/**
 * Creates a clock from a monotonic one. After a sleep, timers that were due
 * during it fire at the next check of `suspensions`, in the order in which they
 * were due.
 */
export function createElapsedClock(
  monotonic: Clock,
  suspensions: SuspensionWatch,
): Clock {
  const timers = new Set<Timer>();
  const now = () => suspensions.elapsedNow();
  suspensions.addListener((_, isConfirmed) => {
    if (!isConfirmed) return;
    const pending = [...timers].sort((a, b) => a.dueAt - b.dueAt);
    for (const timer of pending) {
      timer.cancel();
      timer.cancel = monotonic.after(timer.dueAt - now(), timer.fire);
    }
  });
  const after = (delayMs: Milliseconds, callback: () => void) => {
    const fire = () => {
      timers.delete(timer);
      suspensions.check();
      callback();
    };
    const timer: Timer = {
      dueAt: now() + delayMs,
      fire,
      cancel: monotonic.after(delayMs, fire),
    };
    timers.add(timer);
    return () => {
      timers.delete(timer);
      timer.cancel();
    };
  };
  return { now, after };
}
