/**
 * A planner with replica rates switched on. Guards against a planner without
 * samples that places requests worse than one without rates, and against
 * ejected replicas that still get requests.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import type { PlannerView } from "../../../src/gateway/planning/view.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { replicaEntry } from "../replica_entry.ts";
import { handover, messages, planRequest, view } from "./planner_rig.ts";

const HALLS = ["a", "b", "c"];
const POOL = [
  ...[0, 1, 2, 3].map((index) =>
    replicaEntry(`d${index}`, {
      stage: ReplicaStage.decode,
      hall: HALLS[index % 3] ?? "",
    })
  ),
  replicaEntry("p0", { stage: ReplicaStage.prefill, hall: "a" }),
  replicaEntry("p1", { stage: ReplicaStage.prefill, hall: "b" }),
];

function planner(
  replicaRates: boolean,
  overrides: Partial<PlannerView> = {},
): Planner {
  const scheduling = { ...NO_SCHEDULING, replicaRates };
  return new Planner(
    view({ replicasOf: () => POOL, scheduling, ...overrides }),
  );
}

test("a planner without samples places requests as without rates", () => {
  const requests = fc.array(
    fc.record({
      hall: fc.constantFrom(...HALLS),
      tokens: fc.integer({ min: 50, max: 400 }),
      outputTokens: fc.integer({ min: 1, max: 300 }),
      /** The earlier request that is over. */
      ended: fc.nat(20),
    }),
    { maxLength: 30 },
  );
  fc.assert(fc.property(requests, (drawn) => {
    const placements = [true, false].map((isOn) => {
      const subject = planner(isOn);
      return drawn.map(({ ended, ...request }, index) => {
        const now = index * 10;
        const stage = "ended" as const;
        subject.report({ type: "progress", id: String(ended), stage }, now);
        const id = String(index);
        subject.enqueue("host", planRequest(id, request), now);
        const answers = messages(subject, now);
        subject.report({ type: "progress", id, stage: "prefilled" }, now);
        return answers;
      });
    });
    assert.deepEqual(placements[0], placements[1]);
  }));
});

test("reports about runs of another planner change nothing", () => {
  const subject = planner(true);
  const { measuredRates } = subject;
  for (let index = 0; index < 50; index++) {
    const id = `unknown${index}`;
    const run = { events: 70, runMs: 90_000 };
    const stages = ["started", "running", "answered", "failed"] as const;
    for (const stage of stages) {
      subject.report({ type: "progress", id, stage, ...run }, index);
    }
  }
  for (const { incarnation } of POOL) {
    assert.equal(measuredRates.speedOf(incarnation), 1);
    assert.equal(measuredRates.isEjected(incarnation, 100), false);
  }
});

test("an assignment of an earlier planner is measured by its next reports", () => {
  const subject = planner(true);
  const { measuredRates } = subject;
  for (let index = 0; index < 40; index++) {
    const now = index * 100;
    const decode = index % 2 === 0 ? "d0" : "d1";
    const id = String(index);
    subject.restore("host", handover(id, { decode, events: 20 }), now);
    const runMs = decode === "d0" ? 1500 : 3000;
    const stage = "answered" as const;
    subject.report({ type: "progress", id, stage, events: 70, runMs }, now);
  }
  subject.enqueue("host", planRequest("new"), 4000);
  messages(subject, 4000);
  const ratio = measuredRates.speedOf("d0") / measuredRates.speedOf("d1");
  assert.ok(ratio > 1.5 && ratio < 2.5, String(ratio));
});

test("an ejected replica gets no request until its trial is due", () => {
  const events: string[] = [];
  const subject = planner(true, {
    events: { note: (name) => void events.push(name) },
  });
  const assigned: string[] = [];
  for (let index = 0; index < 60; index++) {
    const now = index * 20;
    const id = String(index);
    subject.enqueue(`host${index % 5}`, planRequest(id, { whole: true }), now);
    for (const message of messages(subject, now)) {
      if (message.type !== "grant") continue;
      assigned.push(message.decode);
      const stage = message.decode === "d0" ? "failed" : "answered";
      subject.report({ type: "progress", id, stage }, now);
    }
    if (events.includes("replicaEjected")) break;
  }
  assert.deepEqual(events, ["replicaEjected"]);
  const failures = assigned.filter((decode) => decode === "d0").length;
  assert.ok(failures <= 5, `${failures} requests failed`);
  const ejectedAt = assigned.length * 20;
  for (let at = ejectedAt; at < ejectedAt + 900; at += 20) {
    subject.enqueue("host", planRequest(`x${at}`, { whole: true }), at);
    for (const message of messages(subject, at)) {
      assert.ok(message.type === "grant" && message.decode !== "d0");
      subject.report(
        { type: "progress", id: message.id, stage: "answered" },
        at,
      );
    }
  }
});
