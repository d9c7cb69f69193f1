/** What is said and done after a failed attempt. */
import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createWorld,
  type Event,
  type Failure,
  type Order,
  step,
  type World,
} from "../../../src/core/mod.ts";
import { callerRequest } from "../../fake/callers.ts";
import { hostListOf, smallLayout } from "../../fake/layout.ts";
import { seedRows } from "../../fake/seed_rows.ts";

/** A host that is alone and plans for itself. */
function newWorld(): World {
  const world = createWorld({
    self: { id: "brest-1", hall: "brest", region: "region", incarnation: 1 },
    seed: 1,
  });
  const entries = hostListOf(smallLayout())
    .filter((one) => one.kind === "upstream" || one.id === "brest-1");
  step(world, [{ type: "hostList", list: { revision: 1, entries } }], 0);
  const orders = step(world, [{ type: "tick" }], 0);
  const read = orders.find((one) => one.type === "readTable");
  assert.ok(read?.type === "readTable");
  const rows = seedRows().map(({ key, value }, n) => ({
    key,
    value: value ?? null,
    revision: n + 1,
  }));
  const answer = { type: "tableRows" as const, call: read.call, rows };
  step(world, [{ ...answer, revision: rows.length }], 1);
  step(world, [...world.upstreams.keys()].map(report), 2);
  return world;
}

function report(upstream: string): Event {
  return {
    type: "loadReport",
    upstream,
    report: {
      running: 0,
      slots: 48,
      prefillQueueTokens: 0,
      prefillRate: 20_000,
      stepMs: 0,
      draining: false,
      epoch: 1,
    },
  };
}

function find<Type extends Order["type"]>(
  orders: readonly Order[],
  type: Type,
): Extract<Order, { type: Type }> {
  const found = orders.find((one) => one.type === type);
  assert.ok(found, `no order "${type}"`);
  return found as Extract<Order, { type: Type }>;
}

function startPrefill(world: World) {
  const call = callerRequest("brest-1/1/1", {
    host: "brest-1",
    text: "a",
    promptTokens: 4000,
  });
  return find(step(world, [call], 10), "prefill");
}

function fail(
  attempt: { readonly attempt: string; readonly upstream: string },
  failure: Failure,
): Event {
  const { attempt: id, upstream } = attempt;
  return { type: "attemptFailed", attempt: id, upstream, failure };
}

test("a request refused after its prefill ran is not told 'not run'", () => {
  const world = newWorld();
  const prefill = startPrefill(world);
  const done: Event = {
    type: "prefillDone",
    attempt: prefill.attempt,
    transfer: "{}",
    keptMs: 5000,
    cachedTokens: 0,
  };
  const decode = find(step(world, [done], 200), "decode");
  const orders = step(world, [fail(decode, "rejected")], 210);
  const error = find(orders, "replyError");
  assert.equal(error.error, "bad_request");
  assert.notEqual(error.ran, "not run");
  const cancelled = orders.filter((one) => one.type === "cancel");
  assert.equal(cancelled.length, 2);
});

test("what never started anywhere is told 'not run'", () => {
  const world = newWorld();
  let prefill = startPrefill(world);
  let now = 20;
  for (;;) {
    const orders = step(world, [fail(prefill, "not-started")], now);
    const error = orders.find((one) => one.type === "replyError");
    if (error) {
      assert.equal(error.ran, "not run");
      break;
    }
    now += 10;
    const again = orders.find((one) => one.type === "prefill");
    if (again) prefill = again;
    else {
      const later = step(world, [report(prefill.upstream)], now);
      prefill = find(later, "prefill");
    }
  }
});

test("a decode that is lost is tried elsewhere from the kept export", () => {
  const world = newWorld();
  const prefill = startPrefill(world);
  const done: Event = {
    type: "prefillDone",
    attempt: prefill.attempt,
    transfer: `{"export":1}`,
    keptMs: 5000,
    cachedTokens: 0,
  };
  const decode = find(step(world, [done], 200), "decode");
  const again = find(step(world, [fail(decode, "broken")], 210), "decode");
  assert.notEqual(again.upstream, decode.upstream);
  assert.equal(again.transfer, `{"export":1}`);
});

test("retries stop when the budget is spent", () => {
  const world = newWorld();
  world.retryTokens = 0;
  const prefill = startPrefill(world);
  const orders = step(world, [fail(prefill, "broken")], 20);
  assert.equal(find(orders, "replyError").error, "upstream_failed");
});
