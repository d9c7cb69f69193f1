/**
 * Guards against a surplus response that is taken for the response to a control
 * call: one reservation for two requests, an old report, the outcome of another
 * order.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { ResponseCheck } from "../../../src/gateway/upstreams/control_response.ts";
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
async function wrongResponses(
  { isDirect, check }: {
    readonly isDirect: boolean;
    readonly check?: ResponseCheck;
  },
): Promise<string[]> {
  const replica = await startRawReplica(answersTwice());
  const peer = await startPeer(replica.address);
  const { pool, paths } = startPool({ peer: peer.address });
  const entry = replicaEntry("a", { address: replica.address });
  if (!isDirect) paths.monitor.noteLost(entry, "checked");
  const isOwn = async (path: string) => {
    const answer = await pool.sendControlCall(entry, {
      call: { method: "GET", path },
      timeoutMs: TEST_TIMEOUT_MS,
      check,
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

/** Each response contains the path of its call, which no other has. */
const PATH_AS_ID: ResponseCheck = { type: "newId", idOf: ({ body }) => body };

for (const isDirect of [true, false]) {
  const path = isDirect ? "" : " through a peer";

  test(`control calls${path} each get their own response`, async () => {
    assert.deepEqual(await wrongResponses({ isDirect }), []);
  });

  test(`control calls${path} that share connections each get their own response`, async () => {
    const options = { isDirect, check: PATH_AS_ID };
    assert.deepEqual(await wrongResponses(options), []);
  });
}

/** Makes two calls in a row; returns the number of connections. */
async function connectionsOf(
  status: string,
  check: ResponseCheck,
): Promise<number> {
  const replica = await startRawReplica((request, socket) => {
    const text = completeResponse(request, request.path);
    socket.write(text.replace("200 OK", status));
  });
  const { pool } = startPool();
  const entry = replicaEntry("a", { address: replica.address });
  try {
    for (const path of ["/first", "/second"]) {
      const answer = await pool.sendControlCall(entry, {
        call: { method: "GET", path },
        timeoutMs: TEST_TIMEOUT_MS,
        check,
      });
      assert.equal(answer?.body, path);
    }
    return replica.connections();
  } finally {
    pool.close();
    replica.stop();
  }
}

test("a connection on which a call's id could not be read carries no further call", async () => {
  const check: ResponseCheck = {
    type: "newId",
    idOf: ({ status, body }) => status === 200 ? body : undefined,
  };
  assert.equal(await connectionsOf("200 OK", check), 1);
  assert.equal(await connectionsOf("503 Full", check), 2);
});
