/**
 * Guards against responses that count as missing because this host's own event
 * loop was late: after a stall its timers fire before it reads what has arrived.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { ArchiveReader } from "../../../src/gateway/streams/archive_reader.ts";
import { KeeperClient } from "../../../src/gateway/streams/keeper_client.ts";
import { StallingLoop } from "../stalling_loop.ts";
import { untilAborted } from "../state/until_aborted.ts";
import { known } from "./resolution.ts";

const STREAM = { service: "s", id: "a" };
const KEEPERS: HostEntry[] = ["h1", "h2"].map((id) => ({
  id,
  address: id,
  hall: "hall",
}));
const events = { note: () => undefined };

test("keepers that respond while this host stalls are heard", async () => {
  const loop = new StallingLoop();
  const body = JSON.stringify(known("v1"));
  const client = new KeeperClient({
    clock: loop.clock,
    events,
    createClient: () => ({
      call: (_call, signal) =>
        untilAborted(signal, loop.receive({ status: 200, body })),
      close: () => undefined,
    }),
  });
  const poll = client.ask(KEEPERS, STREAM);
  await loop.stall();
  assert.equal((await poll).answers.length, KEEPERS.length);
});

test("a response of the store while this host stalls is read", async () => {
  const loop = new StallingLoop();
  const reader = new ArchiveReader({
    clock: loop.clock,
    events,
    store: {
      readRows: (_table, signal) =>
        untilAborted(signal, loop.receive({ rows: [], nowMs: 0 } as never)),
    },
  });
  const finding = reader.find(STREAM);
  await loop.stall();
  assert.equal((await finding).type, "absent");
});
