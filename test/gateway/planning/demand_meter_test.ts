/** The measured demand on both stages, and the capacities of replicas. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { AssignmentStage } from "../../../src/gateway/planning/messages.ts";
import { DemandMeter } from "../../../src/gateway/planning/demand_meter.ts";
import { EQUAL_RATES } from "../../../src/gateway/planning/replica_rates.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { MEMORY, planRequest, replica, view } from "./planner_rig.ts";

const MEASURED = { ...NO_SCHEDULING, measuredSplit: true };
const REPLICAS = [
  replica("d1", ReplicaStage.decode),
  replica("d2", ReplicaStage.decode),
  replica("p1", ReplicaStage.prefill),
  replica("p2", ReplicaStage.prefill),
];
const RUN_MS = 400;
const INTERVAL_MS = 100;
const REQUESTS = 60;

type Options = {
  readonly forMs: number;
  readonly scheduling?: typeof NO_SCHEDULING;
  /** Changes the request with this number. */
  readonly requestOf?: (count: number) => Partial<
    ReturnType<typeof planRequest>
  >;
};

/** A planner after ten requests a second, each of which runs for `RUN_MS`. */
function played({ forMs, scheduling, requestOf }: Options) {
  const planner = new Planner(view({
    replicasOf: () => REPLICAS,
    scheduling: scheduling ?? MEASURED,
  }));
  const ends: { at: number; id: string }[] = [];
  for (let now = 0; now < forMs; now += INTERVAL_MS) {
    const done = ends.filter(({ at }) => at === now);
    for (const { id } of done) {
      const stage = AssignmentStage.answered;
      planner.report({ type: "progress", id, stage }, now);
    }
    const id = `r${now}`;
    const overrides = requestOf?.(now / INTERVAL_MS) ?? {};
    const request = planRequest(id, { tokens: 100, ...overrides });
    planner.enqueue("h", request, now);
    for (const { message } of planner.pass(now)) {
      if (message.type !== "grant") continue;
      ends.push({ at: now + RUN_MS, id: message.id });
      if (message.prefill === undefined) continue;
      const spentMs = 10;
      const stage = AssignmentStage.prefilled;
      planner.report({ type: "progress", id, stage, spentMs }, now);
    }
  }
  return planner;
}

function measured(options: Options) {
  return played(options).measureStages("s", REPLICAS, options.forMs);
}

test("demand is measured in prompt tokens per second and in memory kept", () => {
  const demand = measured({ forMs: 12_000 })?.demand;
  assert.ok(demand);
  const { promptTokensPerSecond, memoryTokens } = demand;
  assert.ok(Math.abs(promptTokensPerSecond - 1000) < 50);
  assert.ok(Math.abs(memoryTokens - 10 * 100 * RUN_MS / 1000) < 20);
  assert.equal(Math.round(demand.runMs), RUN_MS);
  assert.equal(Math.round(demand.meanPromptTokens), 100);
  assert.equal(Math.round(demand.objectiveMs), 900);
});

test("prompts that are cached at a decode replica need no prefill replica", () => {
  const requestOf = (count: number) => count < 20 ? {} : { key: "k" };
  const demand = measured({ forMs: 24_000, requestOf })?.demand;
  assert.ok(demand && demand.promptTokensPerSecond < 300);
  assert.ok(demand.memoryTokens > 300);
});

test("requests that wait for memory count as demand", () => {
  const requestOf = () => ({ tokens: MEMORY });
  const demand = measured({ forMs: 12_000, requestOf })?.demand;
  assert.ok(demand && demand.memoryTokens > 2 * MEMORY);
});

test("a refused request counts once, not again at its retries", () => {
  const forMs = 6000;
  const planner = played({ forMs });
  const memoryTokens = () =>
    planner.measureStages("s", REPLICAS, forMs)?.demand.memoryTokens ?? 0;
  const offer = (id: string) => {
    const large = { key: "large", tokens: 50 * MEMORY };
    planner.enqueue("h", planRequest(id, large), forMs);
    return planner.pass(forMs).map(({ message }) => message.type);
  };
  const before = memoryTokens();
  assert.deepEqual(offer("first"), ["refusal"]);
  const once = memoryTokens();
  assert.ok(once > before);
  for (let retry = 0; retry < 5; retry++) offer(`retry${retry}`);
  assert.equal(memoryTokens(), once);
});

test("replicas that have prefilled count by their own times, the others as typical", () => {
  const meter = new DemandMeter(() => EQUAL_RATES);
  const service = { name: "s", replicas: REPLICAS, memory: MEMORY };
  for (let count = 0; count < REQUESTS; count++) {
    const prefill = count % 2 === 0 ? "p1" : "p2";
    const promptTokens = 1000 * (1 + count % 5);
    const spentMs = promptTokens / (prefill === "p1" ? 100 : 50);
    const request = planRequest(`r${count}`);
    const now = count * INTERVAL_MS;
    meter.noteRequest(request, false, now);
    const entry = {
      ...request,
      host: "h",
      decode: "d1",
      prefill,
      prefilledBy: prefill,
      promptTokens,
      tokensAhead: 0,
      grantedAt: now,
      expiresAt: Infinity,
    };
    const { id } = request;
    const type = "progress";
    const prefilled = { type, id, stage: "prefilled", spentMs } as const;
    meter.noteReport(entry, prefilled, now);
    const answered = { type, id, stage: "answered" } as const;
    meter.noteReport(entry, answered, now + RUN_MS);
  }
  const capacities = meter.measure(service, REQUESTS * INTERVAL_MS)?.capacities;
  const [d1, d2, p1, p2] = capacities ?? [];
  assert.ok(d1 && d2 && p1 && p2);
  const ratio = p1.promptTokensPerSecond / p2.promptTokensPerSecond;
  assert.ok(ratio > 1.6 && ratio < 2.4, `${ratio}`);
  assert.ok(Math.abs(p1.speed / p2.speed - ratio) < 1e-9);
  assert.equal(d1.speed, 1);
  assert.deepEqual({ ...d1, incarnation: "" }, { ...d2, incarnation: "" });
  const { promptTokensPerSecond: typical } = d1;
  assert.ok(typical >= p2.promptTokensPerSecond);
  assert.ok(typical <= p1.promptTokensPerSecond);
});

test("nothing is reported before enough is measured, or when it is off", () => {
  assert.equal(measured({ forMs: 2000 }), undefined);
  const scheduling = NO_SCHEDULING;
  assert.equal(measured({ forMs: 12_000, scheduling }), undefined);
});
