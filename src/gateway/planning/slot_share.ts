/** How much of a plain service is in use. */
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";

/** The share of the replicas' slots that calls use or wait for. */
export function slotShareInUse(
  ledger: Pick<Ledger, "reservedTokensAt">,
  replicas: readonly ReplicaEntry[],
): number {
  let slots = 0;
  let inUse = 0;
  for (const replica of replicas) {
    slots += replica.slots;
    inUse += ledger.reservedTokensAt(replica.incarnation);
  }
  return inUse / Math.max(1, slots);
}
