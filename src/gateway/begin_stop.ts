/** Begins the stop of a host. */
import type { Milliseconds } from "../util/units.ts";
import type { GatewayContext } from "./context.ts";
import { stopDeadline } from "./stop_deadline.ts";

/** A stop that has begun. */
export type BegunStop = {
  /** When open requests are ended. */
  readonly deadline: Milliseconds;
  /** How long the signal has waited for the event loop at most. */
  readonly waitedMs: Milliseconds;
};

/**
 * Marks a host as stopping, from the earliest moment at which the signal can have
 * come: the process is killed at the end of the grace period after that, and
 * callers that are directed here are those of the time after it.
 */
export function beginStop(
  { clock, stop, iterations }: Pick<
    GatewayContext,
    "clock" | "stop" | "iterations"
  >,
): BegunStop {
  const waitedMs = iterations.maxEventAgeMs;
  const requestedAt = stop.requestedAt = clock.now() - waitedMs;
  return { deadline: stopDeadline(stop) ?? requestedAt, waitedMs };
}
