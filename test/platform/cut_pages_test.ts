/**
 * Responses of the store that are cut. Guards against a part of a page that
 * counts as a listing, perhaps an empty one, or as a write that was made.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createStore } from "../../platform/store.ts";
import {
  createJsonClient,
  type Store,
  systemClock,
} from "../../src/gateway/mod.ts";
import {
  allCuts,
  answerCut,
  CUTS,
  headCuts,
  jsonResponses,
  playAll,
} from "../gateway/cut_responses.ts";
import { startRawReplica } from "../gateway/raw_replica.ts";

/** A signal of a call that nothing aborts. */
const unaborted = () => new AbortController().signal;
const FROM = { revision: 1 };
const VALUE = Buffer.from("{}").toString("base64");
const PAGE = JSON.stringify({
  Rows: [{ PrivateKey: "a", Value: VALUE, ver: 2 }],
  ver: 3,
  now_ms: 4,
});
const WRITE = { table: "t", key: "k", value: "v" };

const CALLS: Readonly<Record<string, (store: Store) => Promise<unknown>>> = {
  readReplicas: (store) => store.readReplicas(unaborted()),
  watchReplicas: (store) => store.watchReplicas(FROM, 0, unaborted()),
  readConfig: (store) => store.readConfig(unaborted()),
  watchConfig: (store) => store.watchConfig(FROM, 0, unaborted()),
  readRows: (store) => store.readRows("t", unaborted()),
  writeRow: (store) => store.writeRow(WRITE, unaborted()),
  removeRow: (store) => store.removeRow(WRITE, unaborted()),
};

/** Makes a call whose response is cut. */
async function callCut(
  call: (store: Store) => Promise<unknown>,
  answer: ReturnType<typeof answerCut>,
): Promise<unknown> {
  const server = await startRawReplica(answer);
  const client = createJsonClient(server.address, systemClock);
  try {
    return await call(createStore(client));
  } finally {
    client.close();
    server.stop();
  }
}

for (const [name, call] of Object.entries(CALLS)) {
  test(`${name} fails if the store's response is cut at any byte`, async () => {
    for (const response of jsonResponses(PAGE)) {
      await playAll(allCuts(response), async (bytes) => {
        const cut = bytes % 2 === 0 ? CUTS.end : CUTS.reset;
        const answer = answerCut(() => response, { bytes, cut });
        const label = `${response.head} ${bytes}`;
        await assert.rejects(callCut(call, answer), label);
      });
      const whole = { bytes: Infinity, cut: CUTS.end };
      await callCut(call, answerCut(() => response, whole));
    }
  });
}

test("an empty page, a conflict or a lost history is read from a whole head only", async () => {
  const empty = JSON.stringify({ ver: 3, now_ms: 4 });
  for (const [name, call] of Object.entries(CALLS)) {
    for (const status of ["200 OK", "410 Gone", "412 Conflict"]) {
      const [response] = jsonResponses(empty, status);
      assert.ok(response);
      await playAll(headCuts(response), async (bytes) => {
        const answer = answerCut(() => response, { bytes, cut: CUTS.end });
        const label = `${name} ${status} ${bytes}`;
        await assert.rejects(callCut(call, answer), label);
      });
    }
  }
});
