/**
 * Guards against callers who fill the memory of a host, or keep it busy, with
 * pipelined requests.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { HeldFor } from "../../../src/gateway/memory/byte_budget.ts";
import { RouteKind } from "../../../src/gateway/mod.ts";
import {
  callOften,
  CALLS,
  keepFirst,
  openConnection,
  rawGet,
  statusesIn,
  until,
} from "../raw_connection.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const UNSAFE = { kind: RouteKind.unsafe, attempts: 1 };
/** Requests that one read of a socket may contain beside the bound. */
const READ_BYTES = 64 << 10;
const FILLER_BYTES = 1000;
const FILLER = `x-filler: ${"f".repeat(FILLER_BYTES)}`;
const PIPELINED = 3000;
const CALLERS = 30;
/** Fewer than those after which a connection is closed. */
const PIPELINED_EACH = 15;

function pipelined(count: number): string {
  return Array.from({ length: count }, (_, index) =>
    rawGet(
      String(index + 1),
      FILLER,
      ...(index + 1 === count ? ["Connection: close"] : []),
    )).join("");
}

function readRequests({ context }: Rig): number {
  return context.metrics.counterValue("requests") - CALLS;
}

test("pipelined requests are read up to a bound, and answered in order", async () => {
  const { answer, release } = keepFirst();
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    const connection = openConnection(rig.address);
    connection.socket.write(pipelined(PIPELINED));
    await rig.waitForRequests(1);
    await callOften(rig);
    const bound = rig.context.tuning.maxPipelinedRequests +
      READ_BYTES / FILLER_BYTES + 1;
    assert.ok(readRequests(rig) <= bound, `${readRequests(rig)} were read`);
    assert.ok(rig.context.heldBytes.heldFor(HeldFor.heads) > 0);
    release();
    const text = await connection.closed;
    const ids = (text.match(/(?<=x-id: )\d+/g) ?? []).map(Number);
    assert.deepEqual(ids, Array.from({ length: PIPELINED }, (_, at) => at + 1));
    assert.equal(rig.replicas[0]?.requests.length, PIPELINED);
    await until(() => rig.context.heldBytes.heldFor(HeldFor.heads) === 0);
  });
});

test("pipelined requests never run once their caller has disconnected", async () => {
  const { answer } = keepFirst();
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    const connection = openConnection(rig.address);
    connection.socket.write(pipelined(20));
    await rig.waitForRequests(1);
    await callOften(rig);
    connection.socket.destroy();
    await until(() => rig.context.heldBytes.heldFor(HeldFor.heads) === 0);
    await callOften(rig);
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});

test("a pipelined request for which the host has no memory is refused", async () => {
  const { answer, release } = keepFirst();
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    rig.context.heldBytes.setCapacity(160_000);
    const connection = openConnection(rig.address);
    connection.socket.write(pipelined(20));
    await rig.waitForRequests(1);
    await callOften(rig);
    assert.ok(rig.context.heldBytes.heldFor(HeldFor.heads) <= 42_000);
    release();
    const statuses = statusesIn(await connection.closed);
    assert.equal(statuses.at(-1), "503");
    assert.ok(statuses.slice(0, -1).every((status) => status === "200"));
    assert.equal(rig.replicas[0]?.requests.length, statuses.length - 1);
  });
});

test("pipelined requests of many callers leave memory for bodies", async () => {
  const capacity = 1 << 20;
  const answer: RawAnswer = (request, socket) => {
    if (request.headers.get("x-id") === "1") return;
    socket.write(completeResponse(request, "body"));
  };
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    rig.context.heldBytes.setCapacity(capacity);
    for (let caller = 0; caller < CALLERS; caller++) {
      openConnection(rig.address).socket.write(pipelined(PIPELINED_EACH));
    }
    await rig.waitForRequests(CALLERS);
    await callOften(rig);
    const { heldBytes } = rig.context;
    assert.ok(heldBytes.heldFor(HeldFor.heads) > 0);
    assert.ok(heldBytes.heldFor(HeldFor.heads) < capacity / 2);
    const body = "b".repeat(capacity / 4);
    const response = await rig.call({ id: "2", method: "POST", body });
    assert.equal(response.status, 200);
  });
});
