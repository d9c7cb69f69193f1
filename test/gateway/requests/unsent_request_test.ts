/**
 * Requests that wait for a connection to their replica when their host or their
 * time ends. Guards against responses that say that these may have run.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { keepFirst, until } from "../raw_connection.ts";
import { type CallOptions, type Rig, withRig } from "../rig.ts";

const ROUTE = { kind: RouteKind.unsafe, attempts: 1 };
const GRACE_MS = 8000;
const TIMEOUT_MS = 500;

/** Sends a request that runs, and one that waits for its connection. */
async function fillConnection(rig: Rig, waitingCall: CallOptions = {}) {
  const running = rig.call({ id: "1" });
  await rig.waitForRequests(1);
  const waiting = rig.call({ id: "2", ...waitingCall });
  await until(() =>
    rig.events.filter(({ name }) => name === "placed").length === 2
  );
  return { running, waiting };
}

const rigOptions = (answer = keepFirst().answer) => ({
  route: ROUTE,
  connectionLimit: 1,
  replicas: [{ answer }],
});

test("a host that exits refuses a request that waits for a connection", async () => {
  await withRig(rigOptions(), async (rig) => {
    const { clock } = rig.context;
    const { running, waiting } = await fillConnection(rig);
    rig.context.stop.requestedAt = clock.now();
    const drained = await rig.callers.drain(clock, clock.now());
    assert.deepEqual(
      drained,
      { cut: 1, refused: 1, unsent: 0, unstarted: 0, unfinished: 1 },
    );
    assert.equal((await running).status, 502);
    assert.equal((await waiting).status, 503);
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});

test("a stopping host refuses a request that waits too long for a connection", async () => {
  const { answer, release } = keepFirst();
  await withRig(rigOptions(answer), async (rig) => {
    const { clock, stop } = rig.context;
    const { running, waiting } = await fillConnection(rig);
    const requestedAt = stop.requestedAt = clock.now() - GRACE_MS / 2;
    stop.graceMs = GRACE_MS;
    void rig.callers.refuseLate(clock, requestedAt + GRACE_MS);
    assert.equal((await waiting).status, 503);
    release();
    assert.equal((await running).status, 200);
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});

test("a request whose time ends while it waits for a connection has not run", async () => {
  const { answer, release } = keepFirst();
  await withRig(rigOptions(answer), async (rig) => {
    const headers = { "x-patience": String(TIMEOUT_MS) };
    const { running, waiting } = await fillConnection(rig, { headers });
    assert.equal((await waiting).status, 503);
    release();
    assert.equal((await running).status, 200);
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});
