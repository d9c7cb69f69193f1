/**
 * Tests that an announced configuration is fetched from the store or from
 * peers.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { ConfigCatchup } from "../../../src/gateway/state/config_catchup.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";

type Scenario = {
  /** How the store responds to a read. */
  readonly store: "answers" | "fails" | "hangs";
  /** How each peer responds, by address. */
  readonly peers: ReadonlyMap<string, "has it" | "lacks it" | "hangs">;
};

/** Creates a catch-up with a simulated store and peers, in virtual time. */
function start({ store, peers }: Scenario) {
  const time = new VirtualTime();
  const written = { version: 1 };
  const routes = new RouteTable();
  const log: string[] = [];
  const adopted: { at: number; version: number }[] = [];
  const adopt = () => {
    const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
    const { version } = written;
    if (!routes.adopt({ version, routes: [], services: [], limits })) return;
    adopted.push({ at: time.now, version });
  };
  const { clock } = time;
  const later = <Value>(delayMs: number, value: () => Value) =>
    new Promise<Value>((resolve) =>
      clock.after(delayMs, () => resolve(value()))
    );
  const never = new Promise<never>(() => undefined);
  const catchup = new ConfigCatchup({
    context: { clock, random: () => 0, routes },
    directory: { addresses: () => [...peers.keys()] },
    readStore: () => {
      log.push(`${time.now} store`);
      if (store === "hangs") return never;
      return later(4, () => {
        if (store === "answers") adopt();
        return store === "answers";
      });
    },
    requestFromPeer: (address) => {
      log.push(`${time.now} ${address}`);
      if (peers.get(address) === "hangs") return never;
      return later(3, () => {
        if (peers.get(address) === "has it") adopt();
      });
    },
  });
  const runTo = (until: number) => time.runTo(until);
  return { catchup, written, adopted, log, runTo };
}

test("versions announced in quick succession may be skipped, except for the newest", async () => {
  const { catchup, written, adopted, runTo } = start({
    store: "answers",
    peers: new Map(),
  });
  for (let at = 0; at <= 800; at += 100) {
    await runTo(at);
    written.version += 1;
    catchup.noteVersion({ version: written.version });
  }
  await runTo(1200);
  assert.deepEqual(adopted.map((entry) => entry.version), [2, 5, 8, 10]);
  assert.ok((adopted.at(-1)?.at ?? Infinity) <= 910);
});

test("no request goes to peers while the store responds", async () => {
  const { catchup, written, adopted, log, runTo } = start({
    store: "answers",
    peers: new Map([["a", "has it"], ["b", "has it"]]),
  });
  written.version = 2;
  catchup.noteVersion({ version: 2, holder: "a" });
  await runTo(5000);
  assert.equal(adopted.length, 1);
  assert.deepEqual(log, ["0 store"]);
});

test("requests go to peers at once when the store rejects this host", async () => {
  const { catchup, written, adopted, runTo } = start({
    store: "fails",
    peers: new Map([["a", "lacks it"], ["b", "lacks it"], ["c", "has it"]]),
  });
  written.version = 2;
  catchup.noteVersion({ version: 2, holder: "c" });
  await runTo(5000);
  assert.deepEqual(adopted, [{ at: 13, version: 2 }]);
});

test("an unresponsive store and unresponsive peers delay the fetch only briefly", async () => {
  const { catchup, written, adopted, runTo } = start({
    store: "hangs",
    peers: new Map([["a", "hangs"], ["b", "hangs"], [
      "c",
      "has it",
    ]]),
  });
  written.version = 2;
  catchup.noteVersion({ version: 2 });
  await runTo(5000);
  assert.deepEqual(adopted, [{ at: 753, version: 2 }]);
});

test("fetches of an unavailable version back off until stopped", async () => {
  const { catchup, log, runTo } = start({
    store: "fails",
    peers: new Map([["a", "lacks it"]]),
  });
  catchup.noteVersion({ version: 2 });
  await runTo(10_000);
  const reads = log.filter((line) => line.endsWith("store"));
  assert.ok(reads.length >= 10 && reads.length <= 15, String(reads));
  catchup.stop();
  const before = log.length;
  await runTo(20_000);
  assert.equal(log.length, before);
});
