/**
 * A replica that turns a host away and asks it for a pause gets nothing from it
 * for that time; other hosts go on, and nobody is refused while others have room.
 *
 * What was seen: a replica asked a host for 3 s without requests, and got three
 * and four of it within that time, where two are allowed.
 * How it came about: each request that was turned away went elsewhere, the next
 * one there again; the service's planner placed them by load, and a replica that
 * turns all away has none.
 * The cause: a 503 shut a replica out for one request only. The time that came
 * with it was read by nobody and kept by nobody.
 * What proved it: no pause of any kind at any host after a 503, sends in the
 * seconds after as before, retries among them; this test, with the same.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { CallKind } from "./callers.ts";
import { brokenPauses } from "./notices.ts";
import { sentBy } from "./sent.ts";
import { callFor, oneOfEachRole, withFleet } from "./stage.ts";

const WARM_MS = 1000;
/** A younger host has no part of the retry budget's allowance. */
const BUDGET_MS = 10_500;
const BUSY_MS = 7000;
const PAUSE_S = "2.5";
const ALL_KINDS = [CallKind.safe, CallKind.stream, CallKind.resumable];

const ONE = "a replica that asks a host for a pause is sent nothing by it";
test(ONE, knownRed(ONE), async () => {
  await withFleet(async (stage) => {
    const busy = oneOfEachRole(stage);
    assert.equal(busy.length, 3);
    await callFor(stage, { kinds: ALL_KINDS, forMs: BUDGET_MS });
    for (const standin of busy) standin.backoff = { text: PAUSE_S };
    const seen = await callFor(stage, { kinds: ALL_KINDS, forMs: BUSY_MS });
    assert.deepEqual(brokenPauses(sentBy(stage.world.arrivals, seen)), []);
    // The others have room for all.
    assert.deepEqual(seen.filter((one) => one.status !== 200), []);
    for (const standin of busy) standin.backoff = undefined;
    const forMs = Number(PAUSE_S) * 1000 + WARM_MS;
    const later = await callFor(stage, { kinds: ALL_KINDS, forMs });
    for (const { id } of busy) {
      const used = sentBy(stage.world.arrivals, later).some((one) =>
        one.replica === id
      );
      assert.ok(used, `${id} is used again`);
    }
  });
});

const ALL = "a service whose replicas all ask for a pause gets none";
test(ALL, knownRed(ALL), async () => {
  await withFleet(async (stage) => {
    const plain = stage.world.ready()
      .filter(({ standin }) => standin.role === "plain");
    const kinds = [CallKind.safe];
    await callFor(stage, { kinds, forMs: WARM_MS });
    for (const { standin } of plain) standin.backoff = { text: PAUSE_S };
    const seen = await callFor(stage, { kinds, forMs: BUSY_MS });
    assert.deepEqual(brokenPauses(sentBy(stage.world.arrivals, seen)), []);
    const other = seen.filter((one) => ![200, 503].includes(one.status));
    assert.deepEqual(other, []);
    for (const { standin } of plain) standin.backoff = undefined;
    const forMs = Number(PAUSE_S) * 1000;
    await callFor(stage, { kinds, forMs });
    const later = await callFor(stage, { kinds, forMs: WARM_MS });
    assert.deepEqual(later.filter((one) => one.status !== 200), []);
  });
});
