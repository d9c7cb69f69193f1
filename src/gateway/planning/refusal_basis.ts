/** What a planner's refusal was decided on, for the log. */
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import type { RefusalBasis } from "./messages.ts";
import { stageLoad } from "./stage_load.ts";

/** The basis of a refusal by a service's replicas and the planner's ledger. */
export function refusalBasis(
  ledger: Ledger,
  source: {
    readonly replicas: readonly ReplicaEntry[];
    /** Memory of one decode replica, in tokens. */
    readonly memory: number;
    /** Asks that wait at the planner. */
    readonly waiting: number;
    /** All replicas limit their requests, and those have no room. */
    readonly isLimited: boolean;
  },
): RefusalBasis {
  const { replicas, memory, waiting, isLimited } = source;
  const load = stageLoad(ledger, { replicas, memory, hasRoom: () => true });
  const decodes = replicas.filter((r) => r.stage === ReplicaStage.decode);
  return {
    decodes: decodes.length,
    held: Math.round(load.decode * 100) / 100,
    waiting,
    ...(isLimited ? { isLimited } : {}),
  };
}
