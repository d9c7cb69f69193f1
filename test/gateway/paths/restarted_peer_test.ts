/**
 * Responses without framing that come through a peer which is killed and started
 * again. Guards against parts that the next process at the peer's address
 * confirms as whole.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseAddress } from "../../../src/util/address.ts";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { callRaw, SeenEnding, type SeenResponse } from "../raw_caller.ts";
import { type RawAnswer, startRawReplica } from "../raw_replica.ts";
import { startRig } from "../rig.ts";
import { moveBehindPeer } from "./lose_path.ts";
import { startPeer, type TestPeer } from "./test_peer.ts";

const EVENT = "id: 1\ndata: a\n\n";
const STREAM_HEAD = "content-type: text/event-stream\r\n";
/** Lets the gateway read the written bytes before the peer ends. */
const AFTER_READ_MS = 20;

/** What happens once the replica has sent a part of its response. */
type Ending = (
  peer: TestPeer,
  endResponse: () => void,
) => Promise<TestPeer>;

/** Calls a host that reaches its only replica through a peer. */
async function callThroughPeer(
  kind: RouteKind,
  ending: Ending,
): Promise<SeenResponse> {
  let ended: Promise<void> = Promise.resolve();
  const answer: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id") ?? "";
    const type = kind === RouteKind.streaming ? STREAM_HEAD : "";
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${type}\r\n${EVENT}`);
    ended = new Promise((resolve) => setTimeout(resolve, AFTER_READ_MS))
      .then(async () => {
        peer = await ending(peer, () => socket.end());
      });
  };
  const replica = await startRawReplica(answer);
  let peer = await startPeer(replica.address);
  const rig = await startRig({
    route: { kind, attempts: 1 },
    replicas: [{ answer }],
    peers: [{ id: "peer", address: peer.address, hall: "hall" }],
  });
  moveBehindPeer(rig, replica.address);
  try {
    const response = await callRaw(rig.address);
    await ended;
    return response;
  } finally {
    rig.stop();
    peer.stop();
    replica.stop();
  }
}

/** Kills the peer and starts its next process at its address. */
async function restart(peer: TestPeer): Promise<TestPeer> {
  await peer.kill();
  const port = parseAddress(peer.address)?.port ?? 0;
  return await startPeer("127.0.0.1:1", { port, run: "2" });
}

test("a stream whose peer is killed and started again is broken off", async () => {
  const response = await callThroughPeer(RouteKind.streaming, restart);
  assert.equal(response.body, EVENT);
  assert.equal(response.ending, SeenEnding.truncated);
});

test("a plain response whose peer is killed and started again is an unknown outcome", async () => {
  for (const kind of [RouteKind.safe, RouteKind.unsafe]) {
    const response = await callThroughPeer(kind, restart);
    assert.equal(response.status, 502, kind);
    assert.ok(!response.body.includes(EVENT), kind);
  }
});

test("a response that ends while its peer runs on is complete", async () => {
  for (const kind of Object.values(RouteKind)) {
    const response = await callThroughPeer(kind, (peer, endResponse) => {
      endResponse();
      return Promise.resolve(peer);
    });
    assert.deepEqual(
      [response.status, response.body, response.ending],
      [200, EVENT, SeenEnding.complete],
      kind,
    );
  }
});
