/** What is learned of upstreams from reports and events. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { createWorld, type Event, step } from "../../../src/core/mod.ts";
import { cachedTokens, stepLine } from "../../../src/core/systems/upstreams.ts";
import { hostListOf, smallLayout } from "../../fake/layout.ts";

function newWorld() {
  const world = createWorld({
    self: { id: "brest-1", hall: "brest", region: "region", incarnation: 1 },
    seed: 1,
  });
  const list = { revision: 1, entries: hostListOf(smallLayout()) };
  step(world, [{ type: "hostList", list }], 0);
  return world;
}

function report(running: number, stepMs: number, epoch = 1): Event {
  return {
    type: "loadReport",
    upstream: "d-brest",
    report: {
      running,
      slots: 48,
      prefillQueueTokens: 0,
      prefillRate: 20_000,
      stepMs,
      draining: false,
      epoch,
    },
  };
}

function upstream(world: ReturnType<typeof newWorld>) {
  const found = world.upstreams.get("d-brest");
  assert.ok(found);
  return found;
}

test("the line of step times is learned from reports", () => {
  const world = newWorld();
  for (const running of [4, 10, 20, 30]) {
    step(world, [report(running, 14 + 0.5 * running)], running);
  }
  const line = stepLine(upstream(world));
  assert.ok(line);
  assert.ok(Math.abs(line.base - 14) < 0.01);
  assert.ok(Math.abs(line.slope - 0.5) < 0.001);
});

test("without spread there is no line", () => {
  const world = newWorld();
  for (let n = 0; n < 9; n += 1) step(world, [report(8, 18)], n);
  assert.equal(stepLine(upstream(world)), undefined);
});

test("a restarted upstream caches nothing", () => {
  const world = newWorld();
  step(world, [report(1, 15)], 1);
  const events = [{ stored: true, hash: 7 }];
  const page = { upstream: "d-brest", from: 1, events };
  step(world, [{ type: "cacheEvents", ...page }], 2);
  assert.equal(cachedTokens(upstream(world), [7]), 256);
  step(world, [report(1, 15, 2)], 3);
  assert.equal(cachedTokens(upstream(world), [7]), 0);
});

test("a gap in the cache events lowers the trust, pages restore it", () => {
  const world = newWorld();
  const page = (from: number): Event => ({
    type: "cacheEvents",
    upstream: "d-brest",
    from,
    events: [{ stored: true, hash: from }],
  });
  step(world, [page(1), page(9)], 1);
  assert.equal(upstream(world).cacheTrust, 0.8);
  for (let from = 10; from < 20; from += 1) step(world, [page(from)], from);
  assert.equal(upstream(world).cacheTrust, 1);
});
