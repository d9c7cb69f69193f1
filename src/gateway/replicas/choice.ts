/** Which replica serves a call; pure, with chance as an argument. */
import type { Milliseconds } from "../../util/units.ts";
import type { Replica } from "./replica.ts";

/** What a choice goes by. */
export type ChoiceQuery = {
  /** The data hall that is preferred. */
  readonly hall: string;
  /** What being in another hall counts as, in units of load. */
  readonly farCharge: number;
  readonly now: Milliseconds;
  /** In [0, 1), for ties. */
  readonly chance: number;
  /** Incarnations not to be chosen. */
  readonly excluded: ReadonlySet<string>;
};

/** The replica with the least load, rather near, failing ones last. */
export function chooseReplica(
  replicas: readonly Replica[],
  query: ChoiceQuery,
  load: (one: Replica) => number,
): Replica | undefined {
  const fit = replicas.filter((one) =>
    !query.excluded.has(one.entry.incarnation)
  );
  const sound = fit.filter((one) => !one.paused(query.now));
  const candidates = sound.length > 0 ? sound : fit;
  if (candidates.length === 0) return undefined;
  const start = Math.floor(query.chance * candidates.length);
  let best: Replica | undefined;
  let bestCost = Infinity;
  for (let step = 0; step < candidates.length; step++) {
    const one = candidates[(start + step) % candidates.length];
    if (!one) continue;
    const far = one.entry.hall === query.hall ? 0 : query.farCharge;
    const cost = load(one) + far + one.failures;
    if (cost >= bestCost) continue;
    best = one;
    bestCost = cost;
  }
  return best;
}
