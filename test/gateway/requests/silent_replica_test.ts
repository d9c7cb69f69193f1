/**
 * Replicas that fall silent in the middle of a stream. Guards against a stream
 * that is given up although no other replica can finish it.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import { chunk, chunkedHeaders, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";
import { TEST_TUNING } from "../test_tuning.ts";
import { continues, event, received, replica, ROUTE } from "./stream_rig.ts";

const STALL_MS = 50;
const SILENT_MS = 6 * STALL_MS;
/** A stopping host has no time for another run. */
const SHORT_GRACE_MS = 5000;

/** Is silent between two events. */
const silent: RawAnswer = (request, socket) => {
  socket.write(chunkedHeaders(request) + chunk(event(1)));
  setTimeout(() => socket.write(chunk(event(2)) + chunk("")), SILENT_MS);
};

/** Sends a stream whose replica also fails other calls. */
async function callSilent(rig: Rig): Promise<string> {
  const { context, replicas } = rig;
  context.tuning = { ...TEST_TUNING, stallTimeoutMs: STALL_MS };
  const response = rig.call();
  await rig.waitForRequests(1);
  for (const one of context.replicas.openReplicasOf("service")) {
    const isServing = one.entry.address === replicas[0]?.address;
    if (isServing) one.noteFailure(context.clock.now(), true);
  }
  return (await response).body;
}

const GOES_ON = "a silent stream goes on at another replica of its version";
test(GOES_ON, knownRed(GOES_ON), async () => {
  const replicas = [replica("v1", silent), replica("v1", continues)];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    assert.equal(await callSilent(rig), event(1) + event(2));
    assert.deepEqual(received(rig), [1, 1]);
  });
});

// It was given up, and failed for want of a replica of its version.
test("a silent stream is awaited without another replica of its version", async () => {
  const replicas = [replica("v1", silent), replica("v2", continues)];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    assert.equal(await callSilent(rig), event(1) + event(2));
    assert.deepEqual(received(rig), [1, 0]);
  });
});

// It was given up, and its host had no time for another run.
test("a silent stream is awaited at a host that stops soon", async () => {
  const replicas = [replica("v1", silent), replica("v1", continues)];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    const { clock, stop } = rig.context;
    const body = callSilent(rig);
    await rig.waitForRequests(1);
    stop.graceMs = SHORT_GRACE_MS;
    stop.requestedAt = clock.now();
    assert.equal(await body, event(1) + event(2));
    assert.deepEqual(received(rig), [1, 0]);
  });
});
