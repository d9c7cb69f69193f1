/**
 * Tests what hosts of a large fleet send and call when all of them start
 * together, in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assertCalm,
  assertServing,
  callsTo,
  LIMITS,
  REPLICAS_PER_HOST,
  startFleet,
  STARTUP_MS,
} from "./large_fleet.ts";

const SIZES = [100, 330];

// Guards against hosts that exceed the store's limit of calls together and then
// list all replicas again, from the store and from each other.
for (const size of SIZES) {
  test(`${size} hosts that start together list the replicas within 5 s`, async () => {
    const fleet = startFleet(size);
    await fleet.runTo(STARTUP_MS);
    assertServing(fleet);
    // Each host reads its peers and the configuration, and lists the replicas
    // at most once.
    const pages = Math.ceil(size * REPLICAS_PER_HOST / LIMITS.pageRows);
    const calls = callsTo(fleet);
    assert.ok(calls <= size * (pages + 4), `${calls} calls`);
    assert.ok(fleet.store.rejected <= size, `${fleet.store.rejected} rejected`);
    await assertCalm(fleet);
  });
}
