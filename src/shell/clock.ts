/** Reads the clocks of the process and its machine. */
import { uptime } from "node:os";
import { performance } from "node:perf_hooks";

/** Returns the monotonic time in milliseconds. */
export function monotonicNow(): number {
  return performance.now();
}

/**
 * Returns the time since the machine started, which goes on while it sleeps, in
 * milliseconds; undefined if the system doesn't tell it.
 */
export function bootNow(): number | undefined {
  try {
    return uptime() * 1000;
  } catch {
    return undefined;
  }
}

/**
 * Returns for how long the event loop has waited for events since the process
 * started, in milliseconds.
 */
export function loopIdleMs(): number {
  return performance.nodeTiming.idleTime;
}

/** Returns a number that increases with each start of a host's process. */
export function newIncarnation(): number {
  return Date.now();
}
