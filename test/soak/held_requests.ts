/** Whether hosts end requests in time; pure functions. */
import type { CallResult } from "./call.ts";
import { ROUTE_TIMEOUT_MS } from "./world_config.ts";

/** A request that is unanswered this long after its timeout is held. */
const HELD_MS = 500;
const MAX_HELD = 7;
const MAX_HELD_SHARE = 1 / 4;

/**
 * Tells when more than a few, and more than a quarter, of the requests that
 * reached their route's timeout were held on.
 */
export function findHeldRequests(calls: readonly CallResult[]): string[] {
  const durations = calls.map(({ sentAtMs, endedAtMs }) =>
    endedAtMs - sentAtMs
  );
  const late = durations.filter((ms) => ms >= ROUTE_TIMEOUT_MS);
  const held = late.filter((ms) => ms >= ROUTE_TIMEOUT_MS + HELD_MS);
  if (held.length <= MAX_HELD) return [];
  if (held.length <= MAX_HELD_SHARE * late.length) return [];
  return [`${held.length} of ${late.length} requests`];
}
