/** What the catalogue says of one kind of log event. */

/** Message, level and rate limit of one kind of event. */
export type EventKind = {
  /** Prefix of the message. */
  readonly part: string;
  readonly sentence: string;
  readonly level: "info" | "warn";
  /** Maximum lines per second; a later line counts the suppressed ones. */
  readonly perSecond: number;
};

/** Rate limit of events of single requests, in lines per second. */
export const REQUESTS_PER_SECOND = 40;
/** As {@link REQUESTS_PER_SECOND}, of requests that fail. */
export const FAILURES_PER_SECOND = 60;
/** As {@link REQUESTS_PER_SECOND}, of changes of state. */
export const CHANGES_PER_SECOND = 20;

/**
 * Each event is written, whatever waits to be written. For events whose number
 * is bounded by other means, such as one for each open request.
 */
export const UNLIMITED = Infinity;

/** An event that is logged with level "info". */
export function info(
  part: string,
  sentence: string,
  perSecond: number,
): EventKind {
  return { part, sentence, level: "info", perSecond };
}

/** An event that is logged with level "warn". */
export function warn(
  part: string,
  sentence: string,
  perSecond: number,
): EventKind {
  return { part, sentence, level: "warn", perSecond };
}
