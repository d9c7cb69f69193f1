/**
 * Control calls whose response is cut. Guards against a part of a response that
 * counts as the outcome of a call: a reservation, a report, a stage order.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as z from "zod";
import { systemClock } from "../../../src/gateway/clock.ts";
import type { ResponseCheck } from "../../../src/gateway/upstreams/control_response.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { readJson } from "../../../src/util/read_json.ts";
import {
  allCuts,
  answerCut,
  type CutResponse,
  CUTS,
  headCuts,
  jsonResponses,
  playAll,
} from "../cut_responses.ts";
import { startPeer } from "../paths/test_peer.ts";
import { startRawReplica } from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";
import { startPool } from "./pool_rig.ts";

const BODY = '{"reservation":"r","more":{"a":[1,2]}}';
const SCHEMA = z.object({ reservation: z.string() });
const read = (body: string) => readJson(SCHEMA, body)?.reservation;

const CHECKS: readonly ResponseCheck[] = [
  { type: "ownConnection" },
  { type: "newId", idOf: ({ body }) => read(body) },
  { type: "none" },
];

/** Makes one control call; returns its outcome. */
async function callCut(
  response: CutResponse,
  { bytes, isDirect, check }: {
    readonly bytes: number;
    readonly isDirect: boolean;
    readonly check: ResponseCheck;
  },
) {
  const cut = bytes % 2 === 1 ? CUTS.reset : CUTS.end;
  const replica = await startRawReplica(
    answerCut(() => response, { bytes, cut }),
  );
  const peer = await startPeer(replica.address);
  const { pool, paths } = startPool({ peer: peer.address });
  const entry = replicaEntry("a", { address: replica.address });
  if (!isDirect) paths.monitor.noteLost(entry, "checked");
  try {
    return await pool.sendControlCall(entry, {
      call: { method: "POST", path: "/", body: "{}" },
      timeoutMs: TEST_TIMEOUT_MS,
      check,
    });
  } finally {
    pool.close();
    peer.stop();
    replica.stop();
  }
}

for (const isDirect of [true, false]) {
  const path = isDirect ? "" : " through a peer";

  test(`a control call${path} whose response is cut in its head has no outcome`, async () => {
    for (const status of ["200 OK", "202 Accepted"]) {
      for (const response of jsonResponses(BODY, status)) {
        for (const check of CHECKS) {
          await playAll(headCuts(response), async (bytes) => {
            const answer = await callCut(response, { bytes, isDirect, check });
            assert.equal(answer, undefined, `${response.head} ${bytes}`);
          });
        }
      }
    }
  });

  test(`a control call${path} whose body is cut has no readable outcome`, async () => {
    for (const response of jsonResponses(BODY)) {
      const cuts = allCuts(response).slice(response.head.length);
      await playAll(cuts, async (bytes) => {
        const check: ResponseCheck = { type: "ownConnection" };
        const answer = await callCut(response, { bytes, isDirect, check });
        const isRead = answer !== undefined && read(answer.body) !== undefined;
        assert.ok(!isRead, `${response.head} ${bytes}`);
        if (response.isFramed) assert.equal(answer, undefined);
      });
      const check: ResponseCheck = { type: "ownConnection" };
      const whole = { bytes: Infinity, isDirect, check };
      assert.equal((await callCut(response, whole))?.body, BODY);
    }
  });
}

test("a call to a host or the store whose response is cut in its head fails", async () => {
  for (const status of ["200 OK", "204 No Content", "412 Conflict"]) {
    for (const response of jsonResponses(BODY, status)) {
      await playAll(headCuts(response), async (bytes) => {
        const cut = bytes % 2 === 0 ? CUTS.end : CUTS.reset;
        const server = await startRawReplica(
          answerCut(() => response, { bytes, cut }),
        );
        const client = createJsonClient(server.address, systemClock);
        const { signal } = new AbortController();
        const call = client.call({ method: "GET", path: "/" }, signal);
        await assert.rejects(call, `${response.head} ${bytes}`);
        client.close();
        server.stop();
      });
    }
  }
});
