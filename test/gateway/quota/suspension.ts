/** Suspends simulated hosts. */
import type { Clock } from "../../../src/gateway/clock.ts";
import type { VirtualTime } from "../../fake/virtual_time.ts";

/** A host that can be suspended. */
export type Suspendable = {
  /** Until then it runs nothing, and what it receives waits. */
  frozenUntil: number;
};

/** Runs `work` now, or when the host is no longer suspended. */
export function whenRunning(
  time: VirtualTime,
  host: Suspendable,
  work: () => void,
): void {
  if (host.frozenUntil <= time.now) return work();
  time.at(host.frozenUntil, () => whenRunning(time, host, work));
}

/** The clock of a host, whose timers wait while it is suspended. */
export function clockOf(time: VirtualTime, hostOf: () => Suspendable): Clock {
  return {
    now: () => time.now,
    after: (delayMs, work) => {
      let isPending = true;
      const run = () => isPending && work();
      const cancel = time.clock.after(
        delayMs,
        () => whenRunning(time, hostOf(), run),
      );
      return () => {
        isPending = false;
        cancel();
      };
    },
  };
}
