/** Orders and choices among what a planner has before it. */
import type { Milliseconds } from "../../core/ids.ts";

/** What the order of a queue is made from. */
export type Queued = {
  /** When the first event is due. */
  readonly dueAt: Milliseconds;
  /** An earlier send may have run. */
  readonly begun: boolean;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  /** It was refused a while ago and came back. */
  readonly returned: boolean;
};

/**
 * Begun requests first, then by priority. Of one priority those that came back
 * when they were told to go first: they are few, and their callers don't come
 * a third time. Then those that can still meet their deadline before those
 * that can't, by due time within each.
 */
export function inOrder<One extends Queued>(
  waits: readonly One[],
  now: Milliseconds,
  serviceMs: (one: One) => Milliseconds,
): One[] {
  const keyed = waits.map((one) => ({
    one,
    rank: one.begun ? -1 : one.priority,
    isNew: !one.begun && !one.returned,
    isLate: !one.begun && now + serviceMs(one) > one.dueAt,
  }));
  keyed.sort((a, b) =>
    a.rank - b.rank ||
    Number(a.isNew) - Number(b.isNew) ||
    Number(a.isLate) - Number(b.isLate) ||
    a.one.dueAt - b.one.dueAt
  );
  return keyed.map(({ one }) => one);
}

/** The one with the least value; undefined where all are infinite. */
export function least<One>(
  all: readonly One[],
  value: (one: One) => number,
): One | undefined {
  let best: One | undefined;
  let bestValue = Infinity;
  for (const one of all) {
    const its = value(one);
    if (its >= bestValue) continue;
    best = one;
    bestValue = its;
  }
  return best;
}
