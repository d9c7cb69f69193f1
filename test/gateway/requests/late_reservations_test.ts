/**
 * Guards against streams that are all refused, while no memory is in use, where
 * each reservation takes longer than its timeout: its response came when the
 * call had been given up and repeated.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  callsOf,
  ENGINE_ROUTE,
  REQUEST_TOKENS,
  startPlacements,
} from "./placement_rig.ts";

/** Longer than every timeout, shorter than the lifetime of a reservation. */
const LATE_MS = 1200;

test("a stream is placed though each reservation takes longer than every timeout", async () => {
  const { advance, sent, place, plans } = startPlacements({
    reservationMs: { d1: LATE_MS, d2: LATE_MS },
  });
  const { state } = place();
  await advance(ENGINE_ROUTE.timeoutMs);
  assert.ok(state.result && "replica" in state.result, "It was refused");
  assert.equal(callsOf(sent, "POST").length, 2);
  const { running, reserved } = plans.memoryByUse;
  assert.equal(running + reserved, REQUEST_TOKENS);
});

test("a reservation that takes long is not repeated at its replica", async () => {
  const { advance, sent, place } = startPlacements({
    reservationMs: { d1: LATE_MS },
  });
  const { state } = place();
  await advance(ENGINE_ROUTE.timeoutMs);
  assert.ok(state.result && "replica" in state.result, "It was refused");
  assert.equal(callsOf(sent, "POST").length, 1);
});

test("a reservation that is granted late and not needed is released", async () => {
  const { advance, sent, place, plans } = startPlacements({
    reservationMs: { d1: LATE_MS, d2: 100 },
  });
  const { state } = place();
  await advance(ENGINE_ROUTE.timeoutMs);
  assert.ok(state.result && "replica" in state.result, "It was refused");
  assert.equal(state.result.replica.entry.incarnation, "d2");
  const released = callsOf(sent, "DELETE").map(({ replica }) => replica);
  assert.deepEqual(released, ["d1"]);
  const { running, reserved } = plans.memoryByUse;
  assert.equal(running + reserved, REQUEST_TOKENS);
});

test("a reservation that is granted after its request is released", async () => {
  const { advance, sent, place, plans } = startPlacements({
    reservationMs: { d1: LATE_MS },
  });
  const { placer } = place();
  await advance(LATE_MS / 2);
  placer.end();
  await advance(ENGINE_ROUTE.timeoutMs);
  assert.equal(callsOf(sent, "POST").length, 1);
  assert.equal(callsOf(sent, "DELETE").length, 1);
  const { running, reserved } = plans.memoryByUse;
  assert.equal(running + reserved, 0);
});

// The planner kept the assignment of such a request for 20 s.
test("a reservation that is granted just before its expiry leaves nothing behind", async () => {
  for (const lateMs of [1890, 1905, 1930, 1960, 1990]) {
    const { advance, sent, place, plans } = startPlacements({
      reservationMs: { d1: lateMs, d2: lateMs },
    });
    const { placer } = place();
    await advance(4500);
    placer.end();
    await advance(3000);
    const { running, reserved } = plans.memoryByUse;
    assert.equal(running + reserved, 0, `${lateMs} ms`);
    const granted = callsOf(sent, "POST").length;
    assert.equal(callsOf(sent, "DELETE").length, granted, `${lateMs} ms`);
  }
});
