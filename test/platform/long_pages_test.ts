/**
 * Guards against listings whose pages never end, which a host collected until its
 * memory was full, and against a feed that fails for ever because it is too long.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createStore } from "../../platform/store.ts";
import {
  createJsonClient,
  ResponseFault,
  type Store,
  systemClock,
} from "../../src/gateway/mod.ts";
import {
  completeResponse,
  type RawAnswer,
  startRawReplica,
} from "../gateway/raw_replica.ts";

const FROM = { revision: 1 };
const SIGNAL = new AbortController().signal;
/** Longer than any response may be. */
const TOO_LONG_BYTES = 64 << 20;
const PAGE_CHARS = 1 << 20;
const PAGES = 24;

/** Runs `work` on a store that answers so; returns the paths of its calls. */
async function withStore(
  answer: RawAnswer,
  work: (store: Store) => Promise<void>,
): Promise<string[]> {
  const server = await startRawReplica(answer);
  const client = createJsonClient(server.address, systemClock);
  try {
    await work(createStore(client));
  } finally {
    client.close();
    server.stop();
  }
  return server.requests.map(({ path }) => path);
}

const answerTooLong: RawAnswer = (_call, socket) => {
  socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${TOO_LONG_BYTES}\r\n\r\n`);
};

test("changes that are too long for one response count as a lost history", async () => {
  await withStore(answerTooLong, async (store) => {
    const changes = await store.watchReplicas(FROM, 0, SIGNAL);
    assert.equal(changes, undefined);
    assert.deepEqual(await store.watchConfig(FROM, 0, SIGNAL), {});
  });
});

test("a page of a listing that is too long fails the call", async () => {
  await withStore(answerTooLong, async (store) => {
    const fault = ResponseFault.tooLong;
    await assert.rejects(store.readReplicas(SIGNAL), { fault });
    await assert.rejects(store.readConfig(SIGNAL), { fault });
    await assert.rejects(store.readRows("t", SIGNAL), { fault });
  });
});

test("a listing whose pages never end fails", async () => {
  const answer: RawAnswer = (call, socket) => {
    const PrivateKey = `key-${call.number}`;
    const Rows = [{ PrivateKey, Value: "A".repeat(PAGE_CHARS), ver: 1 }];
    const page = { Rows, more: true, ver: 1, now_ms: 1 };
    socket.write(completeResponse(call, JSON.stringify(page)));
  };
  const paths = await withStore(answer, async (store) => {
    await assert.rejects(store.readRows("t", SIGNAL), /table t is too long/);
  });
  assert.equal(paths.length, PAGES);
});

test("a listing of many pages is read whole", async () => {
  const answer: RawAnswer = (call, socket) => {
    const PrivateKey = `key-${call.number}`;
    const Rows = [{ PrivateKey, Value: "A".repeat(PAGE_CHARS / 2), ver: 1 }];
    const more = call.number < PAGES;
    const page = { Rows, more, ver: 1, now_ms: 1 };
    socket.write(completeResponse(call, JSON.stringify(page)));
  };
  await withStore(answer, async (store) => {
    const { rows } = await store.readRows("t", SIGNAL);
    assert.equal(rows.length, PAGES);
  });
});
