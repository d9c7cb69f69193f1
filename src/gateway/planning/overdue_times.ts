/** When a run counts as overdue. */
import type { Milliseconds } from "../../util/units.ts";

/** A run is overdue after this multiple of the expected time. */
const OVERDUE_FACTOR = 5;
const MIN_OVERDUE_MS = 1500;
/** Longest interval between two reports of a run that proceeds. */
const REPORT_INTERVAL_MS = 1000;

/** Time from one report of a run that proceeds to the next. */
export const REPORT_TIMEOUT_MS = REPORT_INTERVAL_MS + MIN_OVERDUE_MS;

/** Time to the first event, of which `usualMs` is the usual one. */
export function firstEventTimeoutMs(usualMs: Milliseconds): Milliseconds {
  return Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usualMs);
}

/** Time from a grant to the first report; `workMs` precedes the first event. */
export function grantTimeoutMs(
  { firstEventMs, workMs }: {
    readonly firstEventMs: Milliseconds;
    readonly workMs: Milliseconds;
  },
): Milliseconds {
  return firstEventTimeoutMs(firstEventMs) + OVERDUE_FACTOR * workMs;
}
