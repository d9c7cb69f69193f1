/**
 * Positions in the store's history, encoded as one number that orders by era
 * and then by revision. A store that is restored from a backup reuses
 * revisions, so a revision alone is ambiguous.
 */

/**
 * A position in the store's history; greater is later, negative precedes all.
 */
export type Position = number;

/**
 * Upper bound on the revisions of one era: ten years at 3,200 writes a second.
 * Leaves room for 8,191 eras below `Number.MAX_SAFE_INTEGER`.
 */
const REVISIONS_PER_ERA = 2 ** 40;

/** A position as the store reports it. */
export type StorePosition = {
  /** Increases with each write; lower after a restore from a backup. */
  readonly revision: number;
  /** Number of restores from a backup; undefined if the store reports none. */
  readonly era?: number;
};

/** The position of a revision in an era. */
export function positionOf(era: number, revision: number): Position {
  return era * REVISIONS_PER_ERA + revision;
}

/** The era of a position; 0 for a negative position. */
export function eraOf(position: Position): number {
  return Math.max(0, Math.floor(position / REVISIONS_PER_ERA));
}

/** The revision of a position within its era; negative for a negative one. */
export function revisionOf(position: Position): number {
  return position < 0 ? position : position % REVISIONS_PER_ERA;
}
