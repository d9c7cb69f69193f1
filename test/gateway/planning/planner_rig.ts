/** Fixtures for tests of the planner. */
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import type {
  PlanHandover,
  PlannerMessage,
  PlanRequest,
} from "../../../src/gateway/planning/messages.ts";
import type { Planner } from "../../../src/gateway/planning/planner.ts";
import type { PlannerView } from "../../../src/gateway/planning/view.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { replicaEntry } from "../replica_entry.ts";

/** Memory of a decode replica, in tokens. */
export const MEMORY = 1000;

/** A replica of the service "s". */
export function replica(
  incarnation: string,
  stage: ReplicaStage,
): ReplicaEntry {
  return replicaEntry(incarnation, { stage, slots: 64 });
}

/** Two decode replicas and one prefill replica. */
export function view(overrides: Partial<PlannerView> = {}): PlannerView {
  return {
    replicasOf: () => [
      replica("d1", ReplicaStage.decode),
      replica("d2", ReplicaStage.decode),
      replica("p1", ReplicaStage.prefill),
    ],
    memoryOf: () => MEMORY,
    isPaused: () => false,
    limitOf: () => undefined,
    noteFailure: () => undefined,
    noteTrial: () => undefined,
    noteSuccess: () => undefined,
    random: () => 0,
    remoteHallPenalty: 0.1,
    scheduling: NO_SCHEDULING,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    weightOf: () => 1,
    ...overrides,
  };
}

/** A request that can wait. */
export function planRequest(
  id: string,
  overrides: Partial<PlanRequest> = {},
): PlanRequest {
  return {
    type: "ask",
    id,
    service: "s",
    tokens: 400,
    promptTokens: 100,
    outputTokens: 300,
    customer: "",
    objectiveMs: 900,
    hall: "h",
    priority: 1,
    slackMs: 900,
    patienceMs: 3000,
    key: "",
    longestRetryMs: 4000,
    begun: false,
    whole: false,
    excluded: [],
    ...overrides,
  };
}

/** The ids of the granted requests. */
export function grantedIds(messages: readonly PlannerMessage[]): string[] {
  return messages.flatMap((message) =>
    message.type === "grant" ? [message.id] : []
  );
}

/** The planner's messages of one pass. */
export function messages(planner: Planner, now: number): PlannerMessage[] {
  return planner.pass(now).map((answer) => answer.message);
}

/** An assignment of 400 tokens at "d1" that another planner granted. */
export function handover(
  id: string,
  overrides: Partial<PlanHandover> = {},
): PlanHandover {
  return {
    type: "keep",
    id,
    service: "s",
    decode: "d1",
    tokens: 400,
    promptTokens: 100,
    outputTokens: 300,
    priority: 1,
    customer: "",
    events: 0,
    runMs: 0,
    ...overrides,
  };
}

/**
 * Restores assignments "a" to "d", which use 1,600 of the 2,000 tokens of
 * `view`.
 */
export function fill(planner: Planner): void {
  ["a", "b", "c", "d"].forEach((id, index) => {
    const decode = index % 2 === 0 ? "d1" : "d2";
    planner.restore("h", handover(id, { decode }), 0);
  });
}
