/** Begins the stop of a host. */
import type { Milliseconds } from "../util/units.ts";
import type { GatewayContext } from "./context.ts";
import { stopDeadline } from "./stop_deadline.ts";

/**
 * Part of the grace period by which a late signal may shorten it: the signal may
 * also have come last of all, and open requests have nearly the whole period.
 */
const MAX_WAIT_SHARE = 0.1;

/** A stop that has begun. */
export type BegunStop = {
  /** When open requests are ended. */
  readonly deadline: Milliseconds;
  /** How long the signal is assumed to have waited for the event loop. */
  readonly waitedMs: Milliseconds;
};

/**
 * Marks a host as stopping, from about the earliest moment at which the signal can
 * have come: the process is killed at the end of the grace period after that, and
 * callers that are directed here are those of the time after it.
 */
export function beginStop(
  { clock, stop, iterations }: Pick<
    GatewayContext,
    "clock" | "stop" | "iterations"
  >,
): BegunStop {
  const maxWaitMs = stop.graceMs * MAX_WAIT_SHARE;
  const waitedMs = Math.min(iterations.maxEventAgeMs, maxWaitMs);
  const requestedAt = stop.requestedAt = clock.now() - waitedMs;
  return { deadline: stopDeadline(stop) ?? requestedAt, waitedMs };
}
