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
  },
): StageLoad {
  const { replicas } = service;
  const memory = Math.max(1, service.memory);
  const prefills = replicas.filter((r) => r.stage === ReplicaStage.prefill);
  const decodes = replicas.filter((r) => r.stage === ReplicaStage.decode);
  return {
    prefill: mean(
      prefills.map((one) => ledger.promptsAt(one.incarnation) > 0 ? 1 : 0),
    ),
    decode: mean(
      decodes.map((one) =>
        Math.min(1, ledger.memoryAt(one.incarnation) / memory)
      ),
    ),
  };
}

/** The mean; 0 of nothing. */
function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}
