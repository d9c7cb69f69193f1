/** Callers of an overloaded pool whose planner decides at arrivals. */
import assert from "node:assert/strict";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import type {
  AssignmentStage,
  PlanRequest,
} from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { MEMORY, messages, planRequest, replica, view } from "./planner_rig.ts";

const STEP_MS = 10;
const PREFILL_MS = 60;
const FIRST_EVENT_MS = 60;
/** Latency objective of all requests. */
export const OBJECTIVE_MS = 900;

/** A request of a load. */
export type LoadRequest = {
  readonly tokens: number;
  /** What its caller estimates, and what it really generates. */
  readonly outputTokens: number;
  readonly runMs: number;
  readonly priority?: number;
};

/** A load over time. */
export type Load = {
  /** Requests that arrive between `now` and `now + stepMs`. */
  arrivals(now: number, stepMs: number): readonly LoadRequest[];
  replicas(now: number): readonly ReplicaEntry[];
  readonly untilMs: number;
  /** Whether each caller that is refused retries once, when it is told to. */
  readonly hasRetries?: boolean;
};

/** What became of a request. */
export type Served = LoadRequest & {
  /** The same for the retry of a request. */
  readonly key: string;
  readonly isRetry: boolean;
  readonly arrivedAt: number;
  grantedAt?: number;
  firstEventAt?: number;
  decode?: string;
  refusedAt?: number;
  retryAfterMs?: number | undefined;
};

/** `count` decode replicas and some prefill replicas that are never busy. */
export function pool(count: number): ReplicaEntry[] {
  return ["p1", "p2", "p3"].map((name) => replica(name, ReplicaStage.prefill))
    .concat(Array.from(
      { length: count },
      (_, index) => replica(`d${index}`, ReplicaStage.decode),
    ));
}

/** Random numbers in [0, 1) from a seed. */
export function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/** Arrivals at a rate per second, with requests from a function. */
export function arrivalsAt(
  rate: (now: number) => number,
  request: (index: number) => LoadRequest,
): Load["arrivals"] {
  let due = 0;
  let count = 0;
  return (now, stepMs) => {
    const arrived: LoadRequest[] = [];
    for (due += rate(now) * stepMs / 1000; due >= 1; due -= 1) {
      arrived.push(request(count++));
    }
    return arrived;
  };
}

/** Plays a load; checks that no memory is given twice at any time. */
export function play(load: Load): Served[] {
  let replicas = load.replicas(0);
  const scheduling = { ...NO_SCHEDULING, arrivalDecisions: true };
  const planner = new Planner(view({ replicasOf: () => replicas, scheduling }));
  const all = new Map<string, Served>();
  const retries: { at: number; refused: Served }[] = [];
  const due: { at: number; id: string; stage: AssignmentStage }[] = [];
  for (let now = 0; now < load.untilMs; now += STEP_MS) {
    replicas = load.replicas(now);
    for (const { id, stage } of due.filter(({ at }) => at <= now)) {
      planner.report({ type: "progress", id, stage }, now);
    }
    due.splice(0, due.length, ...due.filter(({ at }) => at > now));
    const send = (request: LoadRequest, key?: string) => {
      const id = `r${all.size}`;
      const isRetry = key !== undefined;
      all.set(id, { ...request, key: key ?? id, isRetry, arrivedAt: now });
      planner.enqueue("h", planRequestOf(id, request, key ?? id), now);
    };
    for (const request of load.arrivals(now, STEP_MS)) send(request);
    for (const { refused } of retries.filter(({ at }) => at <= now)) {
      send(refused, refused.key);
    }
    retries.splice(0, retries.length, ...retries.filter(({ at }) => at > now));
    for (const message of messages(planner, now)) {
      if (message.type === "ping") continue;
      const served = all.get(message.id);
      assert.ok(served);
      if (message.type === "refusal") {
        served.refusedAt = now;
        served.retryAfterMs = message.retryAfterMs;
        if (!load.hasRetries || served.isRetry) continue;
        retries.push({
          at: now + (message.retryAfterMs ?? 0),
          refused: served,
        });
        continue;
      }
      const firstEventAt = now + PREFILL_MS + FIRST_EVENT_MS;
      Object.assign(served, { grantedAt: now, decode: message.decode });
      served.firstEventAt = firstEventAt;
      const { id } = message;
      due.push(
        { at: now + PREFILL_MS, id, stage: "prefilled" },
        { at: firstEventAt, id, stage: "started" },
        { at: firstEventAt + served.runMs, id, stage: "answered" },
      );
    }
    checkMemory([...all.values()], now);
  }
  return [...all.values()];
}

function planRequestOf(
  id: string,
  { tokens, outputTokens, priority = 1 }: LoadRequest,
  key: string,
): PlanRequest {
  return planRequest(id, {
    key,
    tokens,
    outputTokens,
    priority,
    promptTokens: 10,
    slackMs: OBJECTIVE_MS,
    patienceMs: 3000,
  });
}

function endOf({ firstEventAt = 0, runMs }: Served): number {
  return firstEventAt + runMs;
}

function checkMemory(all: readonly Served[], now: number): void {
  const held = new Map<string, number>();
  for (const served of all) {
    if (served.decode === undefined || endOf(served) <= now) continue;
    const sum = (held.get(served.decode) ?? 0) + served.tokens;
    held.set(served.decode, sum);
    assert.ok(sum <= MEMORY, `${served.decode}: ${sum} tokens at ${now} ms`);
  }
}

/** Memory that was held on average from `from` to `until`, as a share. */
export function utilization(
  all: readonly Served[],
  { from, until, decodes }: { from: number; until: number; decodes: number },
): number {
  const used = all.reduce((sum, served) => {
    if (served.grantedAt === undefined) return sum;
    const begin = Math.max(from, served.grantedAt);
    const end = Math.min(until, endOf(served));
    return sum + Math.max(0, end - begin) * served.tokens;
  }, 0);
  return used / (MEMORY * decodes * (until - from));
}

/** The longest wait of a refused request, and the shares of the outcomes. */
export function summarize(all: readonly Served[]) {
  const refused = all.filter(({ refusedAt }) => refusedAt !== undefined);
  const onTime = all.filter(({ firstEventAt = Infinity, arrivedAt }) =>
    firstEventAt <= arrivedAt + OBJECTIVE_MS
  );
  const served = all.filter(({ grantedAt }) => grantedAt !== undefined);
  return {
    maxRefusalWaitMs: Math.max(
      0,
      ...refused.map(({ refusedAt = 0, arrivedAt }) => refusedAt - arrivedAt),
    ),
    refused: refused.length / all.length,
    onTime: onTime.length / all.length,
    late: (served.length - onTime.length) / all.length,
  };
}
