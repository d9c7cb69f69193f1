/** The replicas, the fleet and the requests of the planner's benchmarks. */
import { type ReplicaEntry, ReplicaStage } from "../../src/gateway/mod.ts";
import type { Scheduling } from "../../src/gateway/context.ts";
import type { PlanRequest } from "../../src/gateway/planning/messages.ts";
import type { PlannerView } from "../../src/gateway/planning/view.ts";
import { NO_SCHEDULING } from "../../test/gateway/no_scheduling.ts";
import { view } from "../../test/gateway/planning/planner_rig.ts";

/** The memory of a decode replica in tokens. */
export const MEMORY = 29_000;
/** Share of the replicas that prefill. */
export const PREFILL_SHARE = 0.22;

/** Replicas in five data halls. */
export function replicasOf(
  count: number,
  { stageOf }: { stageOf(index: number): ReplicaStage } = {
    stageOf: (index) =>
      index < count * PREFILL_SHARE
        ? ReplicaStage.prefill
        : ReplicaStage.decode,
  },
): ReplicaEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `i-${index}`,
    incarnation: `i-${index}`,
    service: "s",
    address: `10.0.0.${index}:1`,
    hall: `hall-${index % 5}`,
    slots: 12,
    leaving: false,
    stage: stageOf(index),
    coldMs: 0,
  }));
}

/** A fleet that consists of the replicas of one service. */
export function viewOf(
  entries: readonly ReplicaEntry[],
  scheduling: Partial<Scheduling> = {},
): PlannerView {
  return view({
    // Returns a new array on each call, as the replica table does.
    replicasOf: () => entries.filter((entry) => !entry.leaving),
    memoryOf: () => MEMORY,
    scheduling: { ...NO_SCHEDULING, ...scheduling },
  });
}

/** A request of the service. */
export function planRequest(id: string, tokens: number): PlanRequest {
  return {
    type: "ask",
    id,
    service: "s",
    tokens,
    promptTokens: 3000,
    outputTokens: tokens,
    customer: "",
    objectiveMs: 900,
    hall: "hall-0",
    priority: 1,
    slackMs: 1e6,
    patienceMs: 1e6,
    longestRetryMs: 4000,
    key: "",
    begun: false,
    whole: false,
    excluded: [],
  };
}
