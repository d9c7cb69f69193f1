/**
 * A replica that says in its answers that it leaves gets no new work, whatever
 * the store says of it.
 *
 * What was seen: a host passed on an answer in which a replica said that it
 * leaves, and sent it two requests more 2,049 and 2,057 ms later, where 2,000
 * are allowed. The store was away, so the replica's entry still said "ready".
 * How it came about: all hosts went on using it as before, each as its planner
 * placed requests there.
 * The cause: the store's listing was the only source of what leaves. What a
 * replica said of itself in an answer went past to the caller.
 * What proved it: as many sends to it after the answer as before it, at the host
 * that had passed it on too; this test, with no host but its own knowledge.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { StoreMode } from "../platform/store_standin.ts";
import { CallKind } from "./callers.ts";
import { sentAfterLeaving } from "./notices.ts";
import { sentBy } from "./sent.ts";
import { callFor, oneOfEachRole, withFleet } from "./stage.ts";

const WARM_MS = 1000;
const LEAVING_MS = 6000;
/** Links tell all hosts by then. */
const TOLD_MS = 1500;
const ALL_KINDS = [CallKind.safe, CallKind.stream, CallKind.resumable];

const ONE = "a replica that says it leaves gets no new work, without the store";
test(ONE, knownRed(ONE), async () => {
  await withFleet(async (stage) => {
    const { world } = stage;
    const leaving = oneOfEachRole(stage);
    assert.equal(leaving.length, 3);
    await callFor(stage, { kinds: ALL_KINDS, forMs: WARM_MS });
    world.store.mode = StoreMode.silent;
    for (const standin of leaving) standin.leaving = true;
    const from = performance.now();
    const seen = await callFor(stage, { kinds: ALL_KINDS, forMs: LEAVING_MS });
    const sent = sentBy(stage.world.arrivals, seen);
    assert.deepEqual(sentAfterLeaving(sent), []);
    // One host tells the others.
    const gone = new Set(leaving.map((one) => one.id));
    const late = sent.filter(({ replica, calledAtMs }) =>
      gone.has(replica) && calledAtMs > from + TOLD_MS
    );
    assert.equal(late.length, 0, `${late.length} of hosts that were told`);
    // The others have room for all.
    assert.deepEqual(seen.filter((one) => one.status !== 200), []);
  });
});

const ALL = "a service whose replicas all say that they leave refuses at once";
test(ALL, knownRed(ALL), async () => {
  await withFleet(async (stage) => {
    const plain = stage.world.ready()
      .filter(({ standin }) => standin.role === "plain");
    const kinds = [CallKind.safe];
    await callFor(stage, { kinds, forMs: WARM_MS });
    for (const { standin } of plain) standin.leaving = true;
    const seen = await callFor(stage, { kinds, forMs: LEAVING_MS });
    assert.deepEqual(sentAfterLeaving(sentBy(stage.world.arrivals, seen)), []);
    const other = seen.filter((one) => ![200, 503].includes(one.status));
    assert.deepEqual(other, []);
    assert.ok(seen.some((one) => one.status === 503));
    // Others come in their stead.
    await stage.world.addReplica("plain", "north");
    await callFor(stage, { kinds, forMs: WARM_MS });
    const again = await callFor(stage, { kinds, forMs: WARM_MS });
    assert.deepEqual(again.filter((one) => one.status !== 200), []);
  });
});
