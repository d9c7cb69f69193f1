/**
 * npm run bench:planner: the time of a planner pass when no queued request can
 * be placed, by numbers of replicas and of queued requests, and the cost of a
 * planner while a pool is asked for twice its memory.
 */
import { Planner } from "../../src/gateway/planning/planner.ts";
import { percent, table } from "../policy/tables.ts";
import { measureOverload, type Overload } from "./overload.ts";
import {
  MEMORY,
  planRequest,
  PREFILL_SHARE,
  replicasOf,
  viewOf,
} from "./rig.ts";

const WARM_UP_PASSES = 30;
const PASSES = 100;
const PASS_INTERVAL_MS = 20;
const SEED = 11;

/** Pools that are asked for twice their memory, with 100 and 200 waiting. */
const OVERLOADS = [
  { decodes: 25, requestsPerSecond: 120, objectiveMs: 2300 },
  { decodes: 25, requestsPerSecond: 120, objectiveMs: 4000 },
  { decodes: 50, requestsPerSecond: 240, objectiveMs: 1300 },
  { decodes: 50, requestsPerSecond: 240, objectiveMs: 2300 },
];

const rows: string[][] = [];
for (const replicas of [90, 600]) {
  for (const waiting of [0, 30, 100, 300]) {
    const ms = medianPass(replicas, waiting);
    rows.push([String(replicas), String(waiting), ms.toFixed(3)]);
  }
}
console.log(table(["replicas", "waiting", "median pass, ms"], rows));

const overloadRows: string[][] = [];
for (const load of OVERLOADS) {
  for (const passesAtMessages of [true, false]) {
    for (const arrivalDecisions of [false, true]) {
      overloadRows.push(
        overloadRow({
          ...load,
          passesAtMessages,
          arrivalDecisions,
          seed: SEED,
        }),
      );
    }
  }
}
console.log(table([
  "decode replicas",
  "requests/s",
  "passes at",
  "arrival decisions",
  "passes/s",
  "waiting",
  "ms a pass",
  "core",
  "on time",
  "late",
  "refused",
  "longest wait of a refused, ms",
  "median and longest of those refused at arrival, ms",
], overloadRows));

function overloadRow(load: Overload): string[] {
  const result = measureOverload(load);
  return [
    String(load.decodes),
    String(load.requestsPerSecond),
    load.passesAtMessages ? "messages" : "20 ms",
    load.arrivalDecisions ? "on" : "off",
    result.passesPerSecond.toFixed(0),
    result.waiting.toFixed(0),
    result.msPerPass.toFixed(3),
    percent(result.core),
    percent(result.onTime),
    percent(result.late),
    percent(result.refused),
    result.longestRefusalMs.toFixed(0),
    `${result.arrivalRefusalMs.median}, ${result.arrivalRefusalMs.longest}`,
  ];
}

/** Returns the median time of a pass over a pool without free memory. */
function medianPass(replicas: number, waiting: number): number {
  const planner = new Planner(viewOf(replicasOf(replicas)));
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
