/**
 * Peers whose response to CONNECT is cut, or has bytes of the replica behind it.
 * Guards against a part of its head that opens a tunnel, and against bytes of
 * the replica that are lost with it.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Route, RouteKind } from "../../../src/gateway/mod.ts";
import {
  assertNotWhole,
  CUTS,
  headCuts,
  playAll,
  responseOf,
  sendCut,
} from "../cut_responses.ts";
import { callRaw, type SeenResponse } from "../raw_caller.ts";
import { type RawAnswer, startRawReplica } from "../raw_replica.ts";
import { startRig } from "../rig.ts";
import { losePath } from "./lose_path.ts";

const UNSAFE: Partial<Route> = { kind: RouteKind.unsafe, attempts: 1 };
const TUNNEL_HEAD = "HTTP/1.1 200 OK\r\n\r\n";

/** Starts a peer that writes `text` in response to CONNECT. */
function startRawPeer(respond: RawAnswer) {
  return startRawReplica((request, socket) => {
    if (request.method === "CONNECT") respond(request, socket);
  });
}

/** Calls a rig whose replica can only be reached through a raw peer. */
async function callThrough(
  peer: { readonly address: string },
  headers: readonly string[] = [],
): Promise<SeenResponse> {
  const peers = [{ id: "peer", address: peer.address, hall: "hall" }];
  const replicas = [{ answer: () => undefined }];
  const rig = await startRig({ route: UNSAFE, replicas, peers });
  try {
    rig.replicas[0]?.stop();
    losePath(rig);
    return await callRaw(rig.address, { headers });
  } finally {
    rig.stop();
  }
}

test("a response to CONNECT that is cut at any byte opens no tunnel", async () => {
  const head = { head: TUNNEL_HEAD, body: "", isFramed: false };
  for (const [ending, cut] of Object.entries(CUTS)) {
    await playAll(headCuts(head), async (bytes) => {
      const peer = await startRawPeer((_, socket) => {
        sendCut(socket, head, { bytes, cut });
      });
      assertNotWhole(await callThrough(peer), `${ending} ${bytes}`);
      const methods = new Set(peer.requests.map(({ method }) => method));
      assert.deepEqual([...methods], ["CONNECT"], `${ending} ${bytes}`);
      peer.stop();
    });
  }
});

test("a replica that refuses a connection before the request is heard through a peer", async () => {
  const refusal = responseOf(["x-not-run: 1", "content-length: 0"], {
    status: "503 Full",
    body: "",
  });
  const peer = await startRawPeer((_, socket) => {
    socket.write(TUNNEL_HEAD + refusal.head);
  });
  const { status } = await callThrough(peer, ["x-patience: 5000"]);
  assert.equal(status, 503);
  peer.stop();
});
