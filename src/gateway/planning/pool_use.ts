/** Tells whether a service has so much room that nobody needs to come later. */
import type { ReplicaEntry } from "../replicas/model.ts";
import { ReplicaStage } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";

/** Share of the places of a service below which any request fits. */
const LIGHT_USE = 0.5;

/** The replicas of a service that accept new work. */
export type UsedPool = {
  readonly replicas: readonly ReplicaEntry[];
  /** Memory of one decode replica, in tokens; 0 for a plain service. */
  readonly memory: number;
};

/** Whether less than half of the memory, or of the slots, is in use. */
export function isLightlyUsed(
  ledger: Pick<Ledger, "reservedTokensAt">,
  { replicas, memory }: UsedPool,
): boolean {
  let used = 0;
  let places = 0;
  for (const { incarnation, stage, slots } of replicas) {
    if (stage === ReplicaStage.prefill) continue;
    used += ledger.reservedTokensAt(incarnation);
    places += memory === 0 ? slots : memory;
  }
  return used < places * LIGHT_USE;
}
