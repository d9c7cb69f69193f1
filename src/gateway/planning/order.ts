/** The order of a planner's queue, and the choice of a minimum. */
import type { Milliseconds } from "../../util/units.ts";

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
 * Sorts waiting requests into the order in which they are scheduled:
 *
 * 1. Requests that may have run already, since their callers have a part of the
 *    answer or a prompt was read for them.
 * 2. By priority.
 * 3. Within a priority, requests that were refused and came back: they are few,
 *    and their callers don't retry again.
 * 4. Requests that can still meet their deadline; those that can no longer meet
 *    it are scheduled last.
 * 5. By deadline.
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

/** The element with the least value; undefined if all are infinite. */
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
