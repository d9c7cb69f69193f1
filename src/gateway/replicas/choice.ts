/** Chooses the replica for a call; a pure function. */
import type { Milliseconds } from "../../util/units.ts";
import type { Replica } from "./replica.ts";

/** Options of {@link chooseReplica}. */
export type ChoiceQuery = {
  /** The preferred data hall. */
  readonly hall: string;
  /** Added to the cost of replicas in other halls, in units of load. */
  readonly remoteHallPenalty: number;
  readonly now: Milliseconds;
  /** A random number in [0, 1), which breaks ties. */
  readonly randomValue: number;
  /** Incarnations that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
};

/**
 * Returns the replica with the lowest cost: its load, the penalty of a remote
 * hall, and its recent failures. Paused replicas are used only as a last
 * resort.
 */
export function chooseReplica(
  replicas: readonly Replica[],
  query: ChoiceQuery,
  load: (replica: Replica) => number,
): Replica | undefined {
  const allowed = replicas.filter((replica) =>
    !query.excluded.has(replica.entry.incarnation)
  );
  const healthy = allowed.filter((replica) => !replica.isPaused(query.now));
  const candidates = healthy.length > 0 ? healthy : allowed;
  if (candidates.length === 0) return undefined;
  const start = Math.floor(query.randomValue * candidates.length);
  let best: Replica | undefined;
  let bestCost = Infinity;
  for (let step = 0; step < candidates.length; step++) {
    const replica = candidates[(start + step) % candidates.length];
    if (!replica) continue;
    const penalty = replica.entry.hall === query.hall
      ? 0
      : query.remoteHallPenalty;
    const cost = load(replica) + penalty + replica.failures;
    if (cost >= bestCost) continue;
    best = replica;
    bestCost = cost;
  }
  return best;
}
