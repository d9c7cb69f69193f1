/** Orders and choices among what a planner has before it. */
import type { Milliseconds } from "../../core/ids.ts";

/** Those that can still be on time by their due time, then the others. */
export function inOrder<
  One extends { readonly dueAt: Milliseconds },
>(
  waits: readonly One[],
  now: Milliseconds,
  serviceMs: (one: One) => Milliseconds,
): One[] {
  const late = (one: One) => now + serviceMs(one) > one.dueAt ? 1 : 0;
  return [...waits].sort((a, b) => late(a) - late(b) || a.dueAt - b.dueAt);
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
