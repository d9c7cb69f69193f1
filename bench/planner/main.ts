/**
 * npm run bench:planner: the time of a planner pass when no queued request can
 * be placed, by numbers of replicas and of queued requests.
 */
import { ReplicaStage } from "../../src/gateway/mod.ts";
import type { PlanRequest } from "../../src/gateway/planning/messages.ts";
import { Planner } from "../../src/gateway/planning/planner.ts";
import type { PlannerView } from "../../src/gateway/planning/view.ts";
import { table } from "../policy/tables.ts";

/** The memory of a decode replica in tokens. */
const MEMORY = 29_000;
const PREFILL_SHARE = 0.22;
const WARM_UP_PASSES = 30;
const PASSES = 100;
const PASS_INTERVAL_MS = 20;

const rows: string[][] = [];
for (const replicas of [90, 600]) {
  for (const waiting of [0, 30, 100, 300]) {
    const ms = medianPass(replicas, waiting);
    rows.push([String(replicas), String(waiting), ms.toFixed(3)]);
  }
}
console.log(table(["replicas", "waiting", "median pass, ms"], rows));

/** Returns the median time of a pass over a pool without free memory. */
function medianPass(replicas: number, waiting: number): number {
  const planner = new Planner(viewOf(replicas));
  fillPool(planner, replicas);
  for (let at = 0; at < waiting; at++) {
    planner.enqueue("host", planRequest(`w${at}`, MEMORY / 4), 0);
  }
  const times: number[] = [];
  for (let count = 0; count < WARM_UP_PASSES + PASSES; count++) {
    const startedAt = performance.now();
    planner.pass(count * PASS_INTERVAL_MS);
    if (count >= WARM_UP_PASSES) times.push(performance.now() - startedAt);
  }
  if (planner.waiting !== waiting) {
    throw new Error("Some queued requests were placed: the pool was not full");
  }
  return times.sort((a, b) => a - b)[PASSES / 2] ?? 0;
}

/** Reserves the memory of all decode replicas. */
function fillPool(planner: Planner, replicas: number): void {
  const prefills = Math.ceil(replicas * PREFILL_SHARE);
  for (let at = 0; at < replicas - prefills; at++) {
    planner.enqueue(
      "host",
      { ...planRequest(`f${at}`, MEMORY), whole: true },
      0,
    );
  }
  planner.pass(0);
}

function viewOf(count: number): PlannerView {
  const entries = Array.from({ length: count }, (_, at) => ({
    id: `i-${at}`,
    incarnation: `i-${at}`,
    service: "s",
    address: `10.0.0.${at}:1`,
    hall: `hall-${at % 5}`,
    slots: 12,
    leaving: false,
    stage: at < count * PREFILL_SHARE
      ? ReplicaStage.prefill
      : ReplicaStage.decode,
    coldMs: 0,
  }));
  return {
    // Returns a new array on each call, as the replica table does.
    replicasOf: () => entries.filter((entry) => !entry.leaving),
    memoryOf: () => MEMORY,
    isPaused: () => false,
    limitOf: () => undefined,
    noteFailure: () => undefined,
    noteTrial: () => undefined,
    noteSuccess: () => undefined,
    random: () => 0,
    remoteHallPenalty: 0.1,
    scheduling: {
      replicaRates: false,
      measuredSplit: false,
      arrivalDecisions: false,
      bookedReturns: false,
      customerShares: false,
    },
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    weightOf: () => 1,
  };
}

function planRequest(id: string, tokens: number): PlanRequest {
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
