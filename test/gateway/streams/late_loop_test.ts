/**
 * Guards against responses that count as missing because this host's own event
 * loop was late: after a stall its timers fire before it reads what has arrived.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../../../src/gateway/clock.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { ArchiveReader } from "../../../src/gateway/streams/archive_reader.ts";
import { KeeperClient } from "../../../src/gateway/streams/keeper_client.ts";
import { untilAborted } from "../state/until_aborted.ts";
import { known } from "./resolution.ts";

const STALL_MS = 4000;
const STREAM = { service: "s", id: "a" };
const KEEPERS: HostEntry[] = ["h1", "h2"].map((id) => ({
  id,
  address: id,
  hall: "hall",
}));
const events = { note: () => undefined };

/** An event loop that stalls; what arrives meanwhile is read after its timers. */
class StallingLoop {
  #now = 0;
  #timers: { readonly at: number; run(): void }[] = [];
  readonly #arrived: (() => void)[] = [];
  readonly clock: Clock = {
    now: () => this.#now,
    after: (delayMs, run) => {
      const timer = { at: this.#now + delayMs, run };
      this.#timers.push(timer);
      return () => {
        this.#timers = this.#timers.filter((other) => other !== timer);
      };
    },
  };

  /** Resolves to a value that arrives during the next stall. */
  receive<Value>(value: Value): Promise<Value> {
    return new Promise((resolve) => {
      this.#arrived.push(() => resolve(value));
    });
  }

  /** Stalls, and goes on with an iteration of its own for timers and input. */
  async stall(): Promise<void> {
    this.#now += STALL_MS;
    const due = this.#timers.filter(({ at }) => at <= this.#now);
    this.#timers = this.#timers.filter(({ at }) => at > this.#now);
    for (const timer of due) timer.run();
    await new Promise((resolve) => setImmediate(resolve));
    for (const receive of this.#arrived.splice(0)) receive();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

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
