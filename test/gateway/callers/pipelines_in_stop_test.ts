/**
 * Requests that wait behind another on their connection while their host stops.
 * Guards against connections that close before these have been answered.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import type { RawAnswer } from "../raw_replica.ts";
import {
  keepFirst,
  openConnection,
  rawGet,
  statusesIn,
  until,
} from "../raw_connection.ts";
import { withRig } from "../rig.ts";

const ROUTE = { kind: RouteKind.unsafe, attempts: 1 };
const REQUESTS = ["1", "2", "3"].map((id) => rawGet(id)).join("");

/** How often a text has the header that announces the end of its connection. */
function closesIn(text: string): number {
  return text.match(/\r\nconnection: close\r\n/gi)?.length ?? 0;
}

test("a stopping host answers all requests that it has read on a connection", async () => {
  const { answer, release } = keepFirst();
  await withRig({ route: ROUTE, replicas: [{ answer }] }, async (rig) => {
    const { socket, closed } = openConnection(rig.address);
    socket.write(REQUESTS);
    await rig.waitForRequests(1);
    await until(() => rig.callers.openRequestCount === 3);
    rig.context.stop.requestedAt = rig.context.clock.now();
    release();
    const text = await closed;
    assert.deepEqual(statusesIn(text), ["200", "200", "200"]);
    assert.equal(closesIn(text), 1);
  });
});

test("a host whose grace period ends refuses the requests that wait behind another", async () => {
  const silent: RawAnswer = () => undefined;
  const replicas = [{ answer: silent }];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    const { clock, stop } = rig.context;
    const { socket, closed } = openConnection(rig.address);
    socket.write(REQUESTS);
    await rig.waitForRequests(1);
    await until(() => rig.callers.openRequestCount === 3);
    stop.requestedAt = clock.now();
    stop.graceMs = 0;
    await rig.callers.drain(clock, clock.now());
    const text = await closed;
    assert.deepEqual(statusesIn(text), ["502", "503", "503"]);
    assert.equal(closesIn(text), 1);
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});
