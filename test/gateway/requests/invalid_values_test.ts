/** Values that Node.js does not accept in a message end one request at most. */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import { startCall } from "../../../src/gateway/upstreams/call.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";
import { event, interruptedAfter, replica, ROUTE } from "./stream_rig.ts";

const answers: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, "x"));
};

test("a stream with a control character in its last id is cut off, not resumed", async () => {
  const replicas = ["\u0000", "\u0001"].map((character) =>
    replica("v1", interruptedAfter(`id: a${character}\ndata: x\n\n`))
  );
  for (const first of replicas) {
    const options = { route: ROUTE, replicas: [first, replica("v1", answers)] };
    await withRig(options, async (rig) => {
      const { status, complete } = await rig.call();
      assert.deepEqual([status, complete], [200, false]);
      assert.equal(rig.replicas[1]?.requests.length, 0);
      assert.equal(rig.context.replicas.get("r1")?.isPaused(0), false);
    });
  }
});

test("a response with an invalid status fails its request only", async () => {
  const odd: RawAnswer = (request, socket) => {
    const text = completeResponse(request, "x");
    const isFirst = request.number === 1;
    socket.write(isFirst ? text.replace("200 OK", "042 Odd") : text);
  };
  await withRig({ replicas: [{ answer: odd }] }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
    assert.equal((await rig.call({ id: "2" })).status, 200);
  });
});

test("a customer whose name can't be sent is refused, others are served", async () => {
  const customers = [
    { name: "\u5ba2", keyDigests: ["digest of k"] },
    { name: "b", keyDigests: ["digest of l"] },
  ];
  await withRig({ replicas: [{ answer: answers }], customers }, async (rig) => {
    const refused = await rig.call({ headers: { "x-key": "k" } });
    assert.equal(refused.status, 503);
    const served = await rig.call({ id: "2", headers: { "x-key": "l" } });
    assert.equal(served.status, 200);
  });
});

test("a call with an invalid header or path is not sent", async () => {
  const call = {
    address: "127.0.0.1:9",
    method: "GET",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    agent: new Agent(),
    clock: systemClock,
    connectTimeoutMs: 100,
  };
  for (
    const change of [
      { headers: ["a", "\u0001"] },
      { headers: ["a", "\u5ba2"] },
      { path: "/a b" },
    ]
  ) {
    const outcome = await startCall({ ...call, ...change }).outcome;
    assert.equal(outcome.type, "notSent");
  }
});

test("an event without control characters is resumed", async () => {
  const replicas = [
    replica("v1", interruptedAfter(event(1))),
    replica("v1", (request, socket) => {
      const body = event(Number(request.headers.get("last-event-id")) + 1);
      socket.write(completeResponse(request, body));
    }),
  ];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    const { body } = await rig.call();
    assert.equal(body, event(1) + event(2));
  });
});
