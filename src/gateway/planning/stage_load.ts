/** Computes the utilization of a service's stages from the planner's ledger. */
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import { meanOf } from "./time_ratio.ts";
import type { StageLoad } from "./view.ts";

/** The utilization of both stages, from 0 to 1. */
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
  const prefills = replicas.filter((replica) =>
    replica.stage === ReplicaStage.prefill
  );
  const decodes = replicas.filter((replica) =>
    replica.stage === ReplicaStage.decode
  );
  return {
    prefill: meanOf(
      prefills.map(({ incarnation }) =>
        ledger.backlogAt(incarnation) > 0 || !hasRoom(incarnation) ? 1 : 0
      ),
    ),
    decode: meanOf(
      decodes.map(({ incarnation }) =>
        hasRoom(incarnation)
          ? Math.min(1, ledger.reservedTokensAt(incarnation) / memory)
          : 1
      ),
    ),
  };
}
