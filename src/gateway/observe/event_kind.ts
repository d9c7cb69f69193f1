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
