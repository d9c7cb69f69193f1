/**
 * Responses whose status is no status of a final response (RFC 9110, 15). Guards
 * against such a response that reaches callers as that of its replica, or counts
 * as the outcome of a call of the host.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import { ReplicaStage, RouteKind } from "../../../src/gateway/mod.ts";
import { openTunnel } from "../../../src/gateway/paths/tunnel_client.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { moveBehindPeer } from "../paths/lose_path.ts";
import { startPeer } from "../paths/test_peer.ts";
import { callRaw } from "../raw_caller.ts";
import {
  completeResponse,
  type RawAnswer,
  startRawReplica,
} from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { ENGINE, withRig } from "../rig.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";
import { startPool } from "../upstreams/pool_rig.ts";

const STATUSES = [
  "000",
  "001",
  "099",
  "101",
  "199",
  "600",
  "999",
  "20",
  "0200",
  "2000",
];
const EVENT = "id: 1\ndata: a\n\n";
const WHOLE: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, "whole"));
};

/** The lines that frame a body. */
const FRAMINGS: Readonly<Record<string, (body: string) => string>> = {
  length: (body) => `content-length: ${body.length}\r\n\r\n${body}`,
  chunked: (body) =>
    `transfer-encoding: chunked\r\n\r\n` +
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  none: (body) => `\r\n${body}`,
};

/** Responds with this status and a body, and ends. */
function answerWith(status: string, body: string, framing = "length") {
  const answer: RawAnswer = ({ headers }, socket) => {
    const lines = [
      `HTTP/1.1 ${status} Text`,
      `x-id: ${headers.get("x-id")}`,
      "x-seal: seal",
      "x-health-id: a",
      "content-type: text/event-stream",
      FRAMINGS[framing]?.(body) ?? "",
    ];
    socket.end(lines.join("\r\n"));
  };
  return answer;
}

for (const status of STATUSES) {
  test(`a response with status ${status} is an unknown outcome, whatever its route`, async () => {
    for (const framing of Object.keys(FRAMINGS)) {
      for (const kind of Object.values(RouteKind)) {
        for (const resumable of [false, kind === RouteKind.streaming]) {
          const label = `${framing} ${kind} ${resumable}`;
          const answer = answerWith(status, EVENT, framing);
          const route = { kind, resumable, attempts: 1 };
          await withRig({ route, replicas: [{ answer }] }, async (rig) => {
            const response = await callRaw(rig.address);
            assert.equal(response.status, 502, label);
            assert.equal(response.headers.get("x-seal"), undefined, label);
          });
        }
      }
    }
  });

  test(`a safe request is served elsewhere behind a response with status ${status}`, async () => {
    const answer = answerWith(status, EVENT);
    const route = { kind: RouteKind.safe, attempts: 2 };
    const replicas = [{ answer }, { answer: WHOLE }];
    await withRig({ route, replicas }, async (rig) => {
      const { status, body } = await callRaw(rig.address);
      assert.deepEqual([status, body], [200, "whole"]);
    });
  });

  test(`a response with status ${status} that comes through a peer is an unknown outcome`, async () => {
    const replica = await startRawReplica(answerWith(status, EVENT));
    const peer = await startPeer(replica.address);
    const peers = [{ id: "peer", address: peer.address, hall: "hall" }];
    const route = { kind: RouteKind.unsafe, attempts: 1 };
    const replicas = [{ answer: WHOLE }];
    await withRig({ route, replicas, peers }, async (rig) => {
      moveBehindPeer(rig, replica.address);
      assert.equal((await callRaw(rig.address)).status, 502);
    });
    peer.stop();
    replica.stop();
  });

  test(`a prefill with status ${status} has made no export`, async () => {
    const exported = '{"export":"e"}';
    const decode: RawAnswer = (request, socket) => {
      const isReserve = request.path === "/reserve";
      const body = isReserve ? '{"reservation":"r"}' : EVENT;
      socket.write(completeResponse(request, body));
    };
    const replicas = [
      { answer: answerWith(status, exported), stage: ReplicaStage.prefill },
      { answer: decode, stage: ReplicaStage.decode },
    ];
    const route = { kind: RouteKind.streaming, attempts: 1 };
    await withRig({ route, engine: ENGINE, replicas }, async (rig) => {
      await rig.call({ method: "POST", body: "prompt" });
      const sent = rig.replicas[1]?.requests
        .find(({ path }) => path !== "/reserve");
      assert.equal(sent?.headers.get("x-export"), undefined);
    });
  });

  test(`a control call whose response has status ${status} has no outcome`, async () => {
    const body = '{"reservation":"r","born":1}';
    const replica = await startRawReplica(answerWith(status, body));
    const peer = await startPeer(replica.address);
    const entry = replicaEntry("a", { address: replica.address });
    for (const isDirect of [true, false]) {
      const { pool, paths } = startPool({ peer: peer.address });
      if (!isDirect) paths.monitor.noteLost(entry, "checked");
      const checks = [
        { type: "ownConnection" },
        { type: "newId", idOf: () => "r" },
        { type: "none" },
      ] as const;
      for (const check of checks) {
        const call = { method: "GET", path: "/" } as const;
        const options = { call, timeoutMs: TEST_TIMEOUT_MS, check };
        const answer = await pool.sendControlCall(entry, options);
        assert.equal(answer, undefined, check.type);
      }
      pool.close();
    }
    peer.stop();
    replica.stop();
  });

  test(`a call to the store or a peer rejects a response with status ${status}`, async () => {
    const server = await startRawReplica(answerWith(status, "{}"));
    const client = createJsonClient(server.address, systemClock);
    const { signal } = new AbortController();
    const call = client.call({ method: "GET", path: "/" }, signal);
    await assert.rejects(call);
    client.close();
    server.stop();
  });

  test(`a response to CONNECT with status ${status} opens no tunnel`, async () => {
    const peer = await startRawReplica(answerWith(status, ""));
    const ends = { self: "h", peer: peer.address, replica: "127.0.0.1:1" };
    const options = { clock: systemClock, timeoutMs: TEST_TIMEOUT_MS };
    const { type } = await openTunnel(ends, options).outcome;
    assert.notEqual(type, "open");
    peer.stop();
  });
}
