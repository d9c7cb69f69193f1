/**
 * Placement at replicas of different speed. Guards against requests that wait
 * at slow replicas while fast ones would end them sooner.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { EngineChoice } from "../../../src/gateway/planning/engine_choice.ts";
import { Ledger } from "../../../src/gateway/planning/ledger.ts";
import { PromptLocations } from "../../../src/gateway/planning/prompt_locations.ts";
import { choosePlainReplica } from "../../../src/gateway/planning/plain_choice.ts";
import {
  EQUAL_RATES,
  type ReplicaRates,
} from "../../../src/gateway/planning/replica_rates.ts";
import { replicaEntry } from "../replica_entry.ts";
import { planRequest, view } from "./planner_rig.ts";

const MEMORY = 70_000;
const TOKENS = 5000;
const RUN_MS = 3500;

const decode = (incarnation: string, hall = "h") =>
  replicaEntry(incarnation, { stage: ReplicaStage.decode, hall });

/** Replicas whose name begins with "fast" need 0.45 of the time. */
const uneven: ReplicaRates = {
  ...EQUAL_RATES,
  runMs: (incarnation) => RUN_MS * (incarnation.startsWith("fast") ? 0.45 : 1),
  callMs: (incarnation) => 50 * (incarnation.startsWith("fast") ? 0.45 : 1),
};

/** The decode replica chosen with the given number of requests at each. */
function chosen(
  requests: ReadonlyMap<ReplicaEntry, number>,
  { rates = uneven, remoteHallPenalty = 0.1 } = {},
): string | undefined {
  const ledger = new Ledger();
  for (const [{ incarnation }, count] of requests) {
    for (let index = 0; index < count; index++) {
      ledger.add({
        id: `${incarnation} ${index}`,
        service: "s",
        host: "host",
        decode: incarnation,
        tokens: TOKENS,
        prefill: undefined,
        prefilledBy: undefined,
        promptTokens: TOKENS,
        outputTokens: 70,
        priority: 0,
        customer: "",
        key: "",
        tokensAhead: 0,
        grantedAt: 0,
        expiresAt: 20_000,
      });
    }
  }
  const choice = new EngineChoice({
    view: view({ memoryOf: () => MEMORY, remoteHallPenalty }),
    ledger,
    promptLocations: new PromptLocations(),
    rates: () => rates,
    isFull: () => false,
  });
  const request = planRequest("1", { tokens: TOKENS, outputTokens: 70 });
  return choice.decodeFor(request, [...requests.keys()], 0)?.incarnation;
}

test("replicas are used in proportion to their speeds", () => {
  const at = (slow: number, fast: number) =>
    new Map([[decode("slow"), slow], [decode("fast"), fast]]);
  assert.equal(chosen(at(4, 8)), "fast");
  assert.equal(chosen(at(4, 8), { rates: EQUAL_RATES }), "slow");
  // One that got all requests would become slow, and its loss break them all.
  assert.equal(chosen(at(0, 8)), "slow");
});

test("a slow replica gets the request when the fast one has no room", () => {
  const replicas = new Map([[decode("fast"), 14], [decode("slow"), 8]]);
  assert.equal(chosen(replicas), "slow");
});

test("of equally fast replicas the caller's hall is preferred", () => {
  const replicas = new Map([[decode("a", "other"), 0], [decode("b"), 5]]);
  assert.equal(chosen(replicas), "b");
});

test("a replica in another hall is preferred if it saves more than that costs", () => {
  const replicas = new Map([
    [decode("slow"), 12],
    [decode("fast", "other"), 8],
  ]);
  assert.equal(chosen(replicas), "fast");
  assert.equal(chosen(replicas, { remoteHallPenalty: 2 }), "slow");
});

test("among about equally fast replicas the caller's hall decides", () => {
  const rates: ReplicaRates = {
    ...EQUAL_RATES,
    runMs: (incarnation) => incarnation === "a" ? RUN_MS : 1.2 * RUN_MS,
  };
  const replicas = new Map([[decode("a", "other"), 0], [decode("b"), 0]]);
  assert.equal(chosen(replicas, { rates }), "b");
});

test("a fast plain replica gets more requests than a slow one", () => {
  const counts = new Map([["fast", 0], ["slow", 0]]);
  const replicas = [...counts.keys()].map((incarnation) =>
    replicaEntry(incarnation, { slots: 4 })
  );
  for (let request = 0; request < 31; request++) {
    const replica = choosePlainReplica(replicas, {
      hall: "h",
      remoteHallPenalty: 0.1,
      inFlight: (incarnation) => counts.get(incarnation) ?? 0,
      callMs: (incarnation) => uneven.callMs(incarnation),
      isPaused: () => false,
      isFull: () => false,
      avoidsLongQueues: false,
    });
    assert.ok(replica);
    const { incarnation } = replica;
    counts.set(incarnation, (counts.get(incarnation) ?? 0) + 1);
  }
  assert.deepEqual([...counts], [["fast", 21], ["slow", 10]]);
});

test("a prefill goes to a free replica by its own prefill line", () => {
  const ledger = new Ledger();
  const prefills = ["slow", "fast", "busy"].map((incarnation) =>
    replicaEntry(incarnation, { stage: ReplicaStage.prefill })
  );
  const prefilling = (id: string, prefill: string) => ({
    id,
    service: "s",
    host: "host",
    decode: "d",
    tokens: 1,
    prefill,
    prefilledBy: prefill,
    promptTokens: TOKENS,
    outputTokens: 1,
    priority: 0,
    customer: "",
    key: "",
    tokensAhead: 0,
    grantedAt: 0,
    expiresAt: 20_000,
  });
  for (let index = 0; index < 60; index++) {
    for (const [replica, ms] of [["slow", 300], ["fast", 130]] as const) {
      ledger.add(prefilling("1", replica));
      ledger.endPrefill("1", ms, 0);
    }
  }
  ledger.add(prefilling("2", "busy"));
  const choice = new EngineChoice({
    view: view(),
    ledger,
    promptLocations: new PromptLocations(),
    rates: () => uneven,
    isFull: () => false,
  });
  const chosenFor = () =>
    choice.prefillFor(prefills, decode("d"), TOKENS).incarnation;
  assert.equal(chosenFor(), "fast");
  ledger.add(prefilling("3", "fast"));
  assert.equal(chosenFor(), "slow");
});
