/**
 * Places in the store's history, as one number. A store that comes back from an
 * older copy gives its revisions out again, so a revision alone names no place:
 * the era comes first, then the revision. What compares places compares these.
 */

/** A place: greater is later. Negative: before all places. */
export type Position = number;

/**
 * Revisions of one era: ten years of 3,200 writes a second. 8,191 eras fit above
 * them into the integers that a number holds exactly.
 */
const ERA_SPAN = 2 ** 40;

/** A place as the store names it. */
export type StorePlace = {
  /** Rises with each write; lower after the store came back from a copy. */
  readonly revision: number;
  /**
   * How often the store came back from an older copy of itself; undefined: it
   * doesn't say.
   */
  readonly era?: number;
};

/** The position of a revision in an era. */
export function positionOf(era: number, revision: number): Position {
  return era * ERA_SPAN + revision;
}

/** The era of a position; 0 before all places. */
export function eraOf(position: Position): number {
  return Math.max(0, Math.floor(position / ERA_SPAN));
}

/** The revision of a position within its era; negative before all places. */
export function revisionOf(position: Position): number {
  return position < 0 ? position : position % ERA_SPAN;
}
