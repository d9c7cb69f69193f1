/**
 * A prefill without framing that ends with its replica. Guards against crashes
 * that are not recorded since the connection ended in order.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage, RouteKind } from "../../../src/gateway/mod.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

const ROUTE = { kind: RouteKind.streaming, attempts: 1 };

const decode: RawAnswer = (request, socket) => {
  const isReserve = request.path === "/reserve";
  const body = isReserve ? '{"reservation":"r"}' : "id: 1\ndata: a\n\n";
  socket.write(completeResponse(request, body));
};

/** Sends a part of an export without framing, and ends with its connection. */
function cutPrefill(onSent: () => void): RawAnswer {
  return (request, socket) => {
    const id = request.headers.get("x-id");
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n{"exp`, onSent);
  };
}

test("a prefill without framing that ends with its replica is recorded as a crash", async () => {
  let rig: Rig | undefined;
  const answer = cutPrefill(() => rig?.replicas[0]?.stop());
  const replicas = [
    { answer, stage: ReplicaStage.prefill },
    { answer: decode, stage: ReplicaStage.decode },
  ];
  const options = { route: ROUTE, engine: ENGINE, replicas };
  await withRig(options, async (started) => {
    rig = started;
    await rig.call({ method: "POST", body: "prompt" });
    while (!rig.events.some(({ name }) => name === "replicaCrashed")) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const [crash] = rig.events.filter(({ name }) => name === "replicaCrashed");
    assert.ok(crash && "replica" in crash.fields);
    assert.equal(crash.fields.replica, "r0");
  });
});
