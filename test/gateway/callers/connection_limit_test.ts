/**
 * Guards against callers whose connections use up the descriptors of a host, so
 * that it reaches neither replicas nor the store.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  callerConnectionsOf,
  ConnectionLimit,
} from "../../../src/gateway/callers/connection_limit.ts";
import { descriptorLimitIn } from "../../../src/shell/descriptor_limit.ts";
import {
  openConnection,
  rawGet,
  statusesIn,
  until,
} from "../raw_connection.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const LIMIT = 3;

function limitConnections({ context }: Rig): void {
  context.tuning = { ...context.tuning, maxConnections: LIMIT };
}

test("the connection that has been idle longest makes room for a new one", () => {
  const limit = new ConnectionLimit<string>();
  for (const name of ["a", "b", "c"]) limit.opened(name, LIMIT);
  limit.idle("b");
  limit.idle("a");
  limit.busy("b");
  limit.idle("b");
  assert.deepEqual(limit.opened("d", LIMIT), {
    type: "acceptedFor",
    idle: "a",
  });
  assert.deepEqual(limit.opened("e", LIMIT), {
    type: "acceptedFor",
    idle: "b",
  });
  assert.deepEqual(limit.opened("f", LIMIT), { type: "refused" });
  limit.closed("c");
  assert.deepEqual(limit.opened("f", LIMIT), { type: "accepted" });
  assert.equal(limit.size, LIMIT);
});

test("the limit of connections leaves descriptors for the rest of the host", () => {
  const text = "Limit  Soft Limit  Hard Limit  Units\n" +
    "Max open files            4096                 524288               files\n";
  assert.equal(descriptorLimitIn(text), 4096);
  assert.equal(
    descriptorLimitIn("Max open files  unlimited  unlimited"),
    undefined,
  );
  for (const descriptors of [1024, 4096, 20_000]) {
    const connections = callerConnectionsOf(descriptors);
    // Each request in progress may need a connection to a replica.
    const others = Math.min(500, descriptors / 5);
    assert.ok(connections * 1.6 + others < descriptors, `${descriptors}`);
  }
  assert.equal(callerConnectionsOf(undefined), Infinity);
  assert.ok(callerConnectionsOf(100) > 0);
});

test("a host with too many connections refuses new ones at once", async () => {
  const replicas = [{ answer: () => undefined }];
  await withRig({ replicas }, async (rig) => {
    limitConnections(rig);
    const open = Array.from({ length: LIMIT }, (_, index) => {
      const connection = openConnection(rig.address);
      connection.socket.write(rawGet(String(index)));
      return connection;
    });
    await rig.waitForRequests(LIMIT);
    const refused = await openConnection(rig.address).closed;
    assert.deepEqual(statusesIn(refused), ["503"]);
    assert.match(refused, /retry-after: 0.5/);
    assert.equal(rig.context.metrics.counterValue("connections_refused"), 1);
    assert.equal(rig.callers.connectionCount, LIMIT);
    open[0]?.socket.destroy();
    await until(() => rig.callers.connectionCount < LIMIT);
    openConnection(rig.address).socket.write(rawGet("4"));
    await rig.waitForRequests(LIMIT + 1);
  });
});

test("idle connections are closed for new ones, those in use are not", async () => {
  const answer: RawAnswer = (request, socket) => {
    if (request.headers.get("x-id") === "kept") return;
    socket.write(completeResponse(request, "body"));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    limitConnections(rig);
    const inUse = openConnection(rig.address);
    inUse.socket.write(rawGet("kept"));
    await rig.waitForRequests(1);
    const idle = openConnection(rig.address);
    idle.socket.write(rawGet("1"));
    await until(() => idle.text().endsWith("body"));
    for (let index = 0; index < 2 * LIMIT; index++) {
      const next = openConnection(rig.address);
      next.socket.write(rawGet("2"));
      await until(() => next.text().endsWith("body"));
    }
    assert.deepEqual(statusesIn(await idle.closed), ["200"]);
    assert.equal(rig.callers.connectionCount, LIMIT);
    assert.equal(inUse.socket.destroyed, false);
    assert.equal(rig.context.metrics.counterValue("connections_refused"), 0);
  });
});
