/**
 * Guards against connections that stay open for requests that never arrive, and
 * against errors of one request that its caller takes for the answer to another.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import {
  callOften,
  keepFirst,
  openConnection,
  rawGet,
  statusesIn,
} from "../raw_connection.ts";
import { withRig } from "../rig.ts";

const FILLER = "f".repeat(3000);
const UNSAFE = { kind: RouteKind.unsafe, attempts: 1 };

test("a malformed request does not answer the one before it", async () => {
  const { answer, release } = keepFirst();
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    const connection = openConnection(rig.address);
    connection.socket.write(rawGet("1") + rawGet("2") + "NONSENSE\r\n\r\n");
    await rig.waitForRequests(1);
    await callOften(rig);
    assert.equal(connection.text(), "");
    release();
    const text = await connection.closed;
    assert.deepEqual(statusesIn(text), ["200", "200", "400"]);
  });
});

/** Asserts that only the request before a malformed one is served. */
async function assertEndsConnection(malformed: string): Promise<void> {
  const { answer, release } = keepFirst();
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    const connection = openConnection(rig.address);
    connection.socket.write(rawGet("1") + malformed);
    await rig.waitForRequests(1);
    await callOften(rig);
    release();
    const text = await connection.closed;
    assert.deepEqual(statusesIn(text), ["200", "400"]);
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
}

test("a space before the colon of a header ends the connection", async () => {
  await assertEndsConnection(rawGet("2", "X-Any : value") + rawGet("3"));
});

test("a malformed body ends its own request", async () => {
  const chunked = rawGet("2", "Transfer-Encoding: chunked");
  await assertEndsConnection(`${chunked}nonsense\r\n`);
});

test("a slow head does not end the response before it", async () => {
  const { answer, release } = keepFirst();
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    rig.callers.applyLimits({
      bodyBytes: 1 << 20,
      headerMs: 50,
      idleMs: 20_000,
    });
    const connection = openConnection(rig.address);
    const expired = new Promise((resolve) => {
      rig.callers.server.on("clientError", resolve);
    });
    connection.socket.write(rawGet("1") + "GET /a/b HTTP/1.1\r\n");
    await rig.waitForRequests(1);
    await expired;
    release();
    const text = await connection.closed;
    assert.deepEqual(statusesIn(text), ["200", "408"]);
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});

test("a head is limited as the configuration says before it has arrived", async () => {
  const { answer } = keepFirst();
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    const limits = { bodyBytes: 1 << 20, headerMs: 20_000, idleMs: 20_000 };
    rig.callers.applyLimits({ ...limits, headBytes: 2000 });
    const connection = openConnection(rig.address);
    connection.socket.write(`GET /a/b HTTP/1.1\r\nx-filler: ${FILLER}`);
    const text = await connection.closed;
    assert.deepEqual(statusesIn(text), ["431"]);
    assert.match(text, /head_too_large/);
  });
});

test("a connection whose first head is late is closed with a 408", async () => {
  const { answer } = keepFirst();
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    rig.callers.applyLimits({ bodyBytes: 1 << 20, headerMs: 50, idleMs: 50 });
    const connection = openConnection(rig.address);
    connection.socket.write("GET /a/b HTTP/1.1\r\n");
    assert.deepEqual(statusesIn(await connection.closed), ["408"]);
  });
});
