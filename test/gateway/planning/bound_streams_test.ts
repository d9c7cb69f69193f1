/** Streams that are bound to a software version, at a planner. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  HostMessageSchema,
  type PlanRequest,
} from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import {
  grantedIds,
  handover,
  MEMORY,
  messages,
  planRequest,
  replica,
  view,
} from "./planner_rig.ts";

const ALL_SCHEDULING = {
  replicaRates: true,
  rateHandover: true,
  measuredSplit: true,
  arrivalDecisions: true,
  measuredMemory: false,
  bookedReturns: true,
  customerShares: true,
  quotaPriorities: true,
  quotaLargeRequests: true,
  errorOrigins: true,
  secondAttempts: true,
  avoidBroken: true,
};

function decodeReplica(id: string, softwareVersion?: string): ReplicaEntry {
  return {
    ...replica(id, ReplicaStage.decode),
    ...(softwareVersion === undefined ? {} : { softwareVersion }),
  };
}

/** One decode replica of each of two versions, and a prefill replica. */
const TWO_VERSIONS: readonly ReplicaEntry[] = [
  decodeReplica("d1", "v1"),
  decodeReplica("d2", "v2"),
  { ...replica("p1", ReplicaStage.prefill), softwareVersion: "v2" },
];

/** A stream that goes on only at a version. */
function bound(
  id: string,
  softwareVersion: string,
  overrides: Partial<PlanRequest> = {},
): PlanRequest {
  const boundTo = { softwareVersion };
  return planRequest(id, { begun: true, boundTo, ...overrides });
}

const version = fc.constantFrom("v1", "v2", "v3", undefined);
const command = fc.record({
  type: fc.constantFrom("ask", "ask", "ask", "end", "fail"),
  version: fc.option(version, { nil: null }),
  begun: fc.boolean(),
  tokens: fc.integer({ min: 1, max: 900 }),
  key: fc.constantFrom("", "a", "b"),
  excluded: fc.subarray(["d0", "d1", "d2"]),
  afterMs: fc.nat(400),
  pick: fc.nat(),
});
const fleet = fc.record({
  versions: fc.array(version, { minLength: 1, maxLength: 6 }),
  paused: fc.subarray(["d0", "d1", "d2"]),
  limited: fc.subarray(["d0", "d1"]),
  isPlain: fc.boolean(),
  hasScheduling: fc.boolean(),
});

test("a bound stream is assigned to no other version, whatever the replicas and the queue", () => {
  fc.assert(fc.property(fleet, fc.array(command), (drawn, commands) => {
    const { isPlain, paused, limited } = drawn;
    const decodes = drawn.versions.map((softwareVersion, index) =>
      decodeReplica(`d${index}`, softwareVersion)
    ).map(({ stage, ...entry }) =>
      isPlain || stage === undefined ? entry : { ...entry, stage }
    );
    const prefills = isPlain ? [] : [replica("p1", ReplicaStage.prefill)];
    const planner = new Planner(view({
      replicasOf: () => [...decodes, ...prefills],
      memoryOf: () => isPlain ? 0 : MEMORY,
      isPaused: (id) => paused.includes(id),
      limitOf: (id) => limited.includes(id) ? 5 : undefined,
      scheduling: drawn.hasScheduling ? ALL_SCHEDULING : NO_SCHEDULING,
    }));
    const versionOf = new Map(
      decodes.map((entry) => [entry.incarnation, entry.softwareVersion]),
    );
    const required = new Map<string, string | undefined>();
    const active: string[] = [];
    let now = 0;
    commands.forEach((drawnCommand, index) => {
      const { type, tokens, begun, key, excluded } = drawnCommand;
      now += drawnCommand.afterMs;
      const id = `r${index}`;
      const isBound = drawnCommand.version !== null;
      const softwareVersion = drawnCommand.version ?? undefined;
      if (type === "ask") {
        if (isBound) required.set(id, softwareVersion);
        const boundTo = softwareVersion === undefined
          ? {}
          : { softwareVersion };
        const request = { tokens, key, excluded, begun: begun || isBound };
        const binding = isBound ? { boundTo } : {};
        planner.enqueue(
          "host",
          planRequest(id, { ...request, ...binding }),
          now,
        );
      } else {
        const [ended] = active.splice(drawnCommand.pick % (active.length || 1));
        const stage = type === "end" ? "answered" : "failed";
        if (ended !== undefined) {
          planner.report({ type: "progress", id: ended, stage }, now);
        }
      }
      for (const message of messages(planner, now)) {
        if (message.type !== "grant") continue;
        active.push(message.id);
        if (!required.has(message.id)) continue;
        assert.equal(
          versionOf.get(message.decode),
          required.get(message.id),
          `${message.id} is assigned to ${message.decode}`,
        );
      }
    });
  }));
});

test("a bound stream whose version has no replica is refused at once", () => {
  for (const memory of [0, MEMORY]) {
    const planner = new Planner(view({
      replicasOf: () => TWO_VERSIONS,
      memoryOf: () => memory,
    }));
    planner.enqueue("h", bound("a", "v3"), 0);
    const [refusal] = messages(planner, 0);
    assert.ok(refusal?.type === "refusal");
    assert.equal(refusal.reason, "no-replica");
  }
});

test("a bound stream waits for its version only, not behind the others", () => {
  const planner = new Planner(view({ replicasOf: () => TWO_VERSIONS }));
  planner.restore("h", handover("x", { decode: "d1", tokens: 900 }), 0);
  planner.restore("h", handover("y", { decode: "d2", tokens: 900 }), 0);
  const early = { slackMs: 100, patienceMs: 60_000 };
  planner.enqueue("h", planRequest("new", early), 0);
  planner.enqueue("h", bound("second", "v2", early), 0);
  planner.enqueue("h", bound("first", "v1"), 0);
  assert.deepEqual(messages(planner, 1), []);
  planner.report({ type: "progress", id: "x", stage: "ended" }, 2);
  // The others are due earlier; one is new and the other may not use "d1".
  assert.equal(grantedIds(messages(planner, 2))[0], "first");
  assert.equal(planner.waiting, 1);
});

test("a bound stream does not wait for the replicas of other versions", () => {
  const planner = new Planner(view({ replicasOf: () => TWO_VERSIONS }));
  planner.restore("h", handover("y", { decode: "d2", tokens: 900 }), 0);
  for (const id of ["a", "b", "c"]) {
    planner.enqueue("h", bound(id, "v2", { slackMs: -100 }), 0);
  }
  planner.enqueue("h", bound("first", "v1"), 0);
  assert.deepEqual(grantedIds(messages(planner, 0)), ["first"]);
});

test("a large bound stream does not starve among small requests at its version", () => {
  const scheduling = { ...NO_SCHEDULING, arrivalDecisions: true };
  const planner = new Planner(view({
    replicasOf: () => [...TWO_VERSIONS, decodeReplica("d3", "v2")],
    scheduling,
  }));
  // Four small requests at "d1" end one after the other.
  for (let index = 0; index < 4; index++) {
    const small = handover(`x${index}`, { decode: "d1", tokens: 250 });
    planner.restore("h", small, 0);
  }
  const large = { tokens: 900, patienceMs: 60_000 };
  planner.enqueue("h", bound("large", "v1", large), 0);
  const running = ["x0", "x1", "x2", "x3"];
  let now = 0;
  let granted: string[] = [];
  for (let step = 0; step < 40 && !granted.includes("large"); step++) {
    now += 50;
    const ended = running.shift();
    if (ended !== undefined) {
      planner.report({ type: "progress", id: ended, stage: "answered" }, now);
    }
    const others = { excluded: ["d2", "d3"], tokens: 250 };
    planner.enqueue("h", planRequest(`s${step}`, others), now);
    granted = grantedIds(messages(planner, now));
    running.push(...granted);
  }
  assert.ok(granted.includes("large"));
});

test("a request of an older host, without a version, may go to any", () => {
  const parsed = HostMessageSchema.parse(planRequest("a"));
  assert.ok(parsed.type === "ask");
  assert.equal(parsed.boundTo, undefined);
  const unlisted = HostMessageSchema.parse({
    ...planRequest("a"),
    boundTo: {},
  });
  assert.ok(unlisted.type === "ask");
  assert.deepEqual(unlisted.boundTo, {});
});
