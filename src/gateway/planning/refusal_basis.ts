/**
 * Describes the state on which a planner's refusal was decided, for the log.
 */
import type { Milliseconds } from "../../util/units.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import type { RefusalBasis } from "./messages.ts";
import { stageLoad } from "./stage_load.ts";

/**
 * Computes the basis of a refusal from the replicas and the planner's ledger.
 */
export function refusalBasis(
  ledger: Ledger,
  options: {
    readonly replicas: readonly ReplicaEntry[];
    /** Memory of one decode replica, in tokens. */
    readonly memory: number;
    /** Requests that wait at the planner. */
    readonly waiting: number;
    /** All replicas limit their requests, and no limit has room. */
    readonly isLimited: boolean;
    /** Forecast time to the first event; may be Infinity. */
    readonly forecastMs?: Milliseconds | undefined;
  },
): RefusalBasis {
  const { replicas, memory, waiting, isLimited } = options;
  const { forecastMs = Infinity } = options;
  const load = stageLoad(ledger, { replicas, memory, hasRoom: () => true });
  const decodes = replicas.filter((replica) =>
    replica.stage === ReplicaStage.decode
  );
  return {
    decodes: decodes.length,
    held: Math.round(load.decode * 100) / 100,
    waiting,
    ...(isLimited ? { isLimited } : {}),
    ...(Number.isFinite(forecastMs)
      ? { forecastMs: Math.round(forecastMs) }
      : {}),
  };
}
