/**
 * Guards against streams that are all refused, while no memory is in use, where
 * prefills take long: their reservations expired meanwhile and were requested
 * again, until the time of the request was over.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  callsOf,
  ENGINE_ROUTE,
  REQUEST_TOKENS,
  startPlacements,
} from "./placement_rig.ts";

test("a decode replica prefills the prompt itself before its reservation expires", async () => {
  const { advance, sent, place, plans } = startPlacements({
    reservationMs: { d1: 0 },
    silentPrefills: ["p1", "p2", "p3"],
  });
  const { state } = place();
  await advance(ENGINE_ROUTE.timeoutMs);
  assert.ok(state.result && "replica" in state.result, "It was refused");
  assert.equal(state.result.headers.export, undefined);
  assert.equal(callsOf(sent, "POST").length, 1);
  assert.equal(callsOf(sent, "DELETE").length, 0);
  const { running, reserved } = plans.memoryByUse;
  assert.equal(running + reserved, REQUEST_TOKENS);
});

test("a stream is placed though its reservation and its prefill take long", async () => {
  const { advance, sent, place } = startPlacements({
    reservationMs: { d1: 1200 },
    silentPrefills: ["p1", "p2", "p3"],
  });
  const { state } = place();
  await advance(ENGINE_ROUTE.timeoutMs);
  assert.ok(state.result && "replica" in state.result, "It was refused");
  assert.equal(callsOf(sent, "POST").length, 1);
});
