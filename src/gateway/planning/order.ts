/** Orders and choices among what a planner has before it. */
import type { Milliseconds } from "../../core/ids.ts";

/** What the order of a queue is made from. */
export type Queued = {
  /** When the first event is due. */
  readonly dueAt: Milliseconds;
  /** An earlier send may have run. */
  readonly begun: boolean;
};

/** The groups of a queue, in the order in which they are served. */
const Group = { begun: 0, onTime: 1, late: 2 } as const;

/**
 * Begun requests first, then those that can still be on time, then the others;
 * by due time within each.
 */
export function inOrder<One extends Queued>(
  waits: readonly One[],
  now: Milliseconds,
  serviceMs: (one: One) => Milliseconds,
): One[] {
  const keyed = waits.map((one) => {
    const isLate = now + serviceMs(one) > one.dueAt;
    return { one, group: groupOf(one, isLate) };
  });
  keyed.sort((a, b) => a.group - b.group || a.one.dueAt - b.one.dueAt);
  return keyed.map(({ one }) => one);
}

function groupOf(one: Queued, isLate: boolean): number {
  if (one.begun) return Group.begun;
  return isLate ? Group.late : Group.onTime;
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
