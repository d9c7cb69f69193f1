/** How busy the stages of a service are, by what was given away. */
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import type { StageLoad } from "./view.ts";

/** The load of both stages, from 0 to 1. */
export function stageLoad(
  ledger: Ledger,
  service: {
    readonly replicas: readonly ReplicaEntry[];
    /** Memory of one decode replica, in tokens. */
    readonly memory: number;
    /** Whether the replica's limit has room for a request. */
    hasRoom(incarnation: string): boolean;
  },
): StageLoad {
  const { replicas, hasRoom } = service;
  const memory = Math.max(1, service.memory);
  const prefills = replicas.filter((r) => r.stage === ReplicaStage.prefill);
  const decodes = replicas.filter((r) => r.stage === ReplicaStage.decode);
  return {
    prefill: mean(
      prefills.map(({ incarnation }) =>
        ledger.promptsAt(incarnation) > 0 || !hasRoom(incarnation) ? 1 : 0
      ),
    ),
    decode: mean(
      decodes.map(({ incarnation }) =>
        hasRoom(incarnation)
          ? Math.min(1, ledger.memoryAt(incarnation) / memory)
          : 1
      ),
    ),
  };
}

/** The mean; 0 of nothing. */
function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}
