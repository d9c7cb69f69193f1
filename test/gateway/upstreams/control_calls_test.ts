/**
 * Guards against a surplus response that is taken for the response to a control
 * call: one reservation for two requests, an old report, the outcome of another
 * order.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import { startPeer } from "../paths/test_peer.ts";
import {
  completeResponse,
  type RawAnswer,
  startRawReplica,
} from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";
import { startPool } from "./pool_rig.ts";

const CALLS = 12;
/** As many as a host has connections for control calls to one replica. */
const CALLERS = 3;

/**
 * Answers each call with its path. When the next call arrives on a connection, it
 * sends the response before it again.
 */
function answersTwice(): RawAnswer {
  const last = new WeakMap<Socket, string>();
  return (request, socket) => {
    const text = completeResponse(request, request.path);
    socket.write((last.get(socket) ?? "") + text);
    last.set(socket, text);
  };
}

/**
 * Makes control calls, each caller one after the other; returns the paths whose
 * response was wrong.
 */
async function wrongResponses(isDirect: boolean): Promise<string[]> {
  const replica = await startRawReplica(answersTwice());
  const peer = await startPeer(replica.address);
  const { pool, paths } = startPool({ peer: peer.address });
  const entry = replicaEntry("a", { address: replica.address });
  if (!isDirect) paths.monitor.noteLost(entry, "checked");
  const isOwn = async (path: string) => {
    const answer = await pool.sendControlCall(entry, {
      call: { method: "GET", path },
      timeoutMs: TEST_TIMEOUT_MS,
    });
    return answer?.body === path;
  };
  try {
    const wrong: string[] = [];
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
      for (let call = 0; call < CALLS / CALLERS; call++) {
        const path = `/call-${caller}-${call}`;
        if (!await isOwn(path)) wrong.push(path);
      }
    });
    await Promise.all(callers);
    return wrong;
  } finally {
    pool.close();
    peer.stop();
    replica.stop();
  }
}

const DIRECT = "control calls each get their own response";
test(DIRECT, knownRed(DIRECT), async () => {
  assert.deepEqual(await wrongResponses(true), []);
});

const TUNNELLED = "control calls through a peer each get their own response";
test(TUNNELLED, knownRed(TUNNELLED), async () => {
  assert.deepEqual(await wrongResponses(false), []);
});
