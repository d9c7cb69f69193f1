/** The latest time at which a refused caller can be told to retry. */
import type { Milliseconds } from "../../util/units.ts";
import type { QueuedRequest } from "./request_queue.ts";

/**
 * Share of the longest delay that is used: the refusal takes time to reach the
 * caller, who compares its delay with the time left then.
 */
const USED_SHARE = 0.95;

/** Callers accept delays in proportion to the time that they have left. */
export function latestReturnAt(
  { request, deadlineAt }: Pick<QueuedRequest, "request" | "deadlineAt">,
  now: Milliseconds,
): Milliseconds {
  const { longestRetryMs, deadlineMs } = request;
  const shareLeft = deadlineMs === undefined
    ? 1
    : Math.max(0, deadlineAt - now) / Math.max(1, deadlineMs);
  return now + longestRetryMs * shareLeft * USED_SHARE;
}
