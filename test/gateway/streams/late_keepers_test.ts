/**
 * Guards against streams that are rejected because hosts or the store respond a
 * moment too late, as beside load or after a stall.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { VersionBinding } from "../../../src/gateway/streams/model.ts";
import {
  stream,
  STREAM_TTL_MS,
  type StreamFleet,
  type StreamHost,
} from "./stream_fleet.ts";
import { bound, mixedFleet, SENT_MS } from "./stream_workload.ts";

const PATIENCE_MS = 1500;
/** A response takes twice as long, which is over the first timeout. */
const LATE_MS = 200;
const STREAMS = 12;
const STEP_MS = 5;
const UNKNOWN = { type: "unknown" };

type Taken = { readonly binding: VersionBinding; readonly waitedMs: number };

/** Takes a stream up and runs until its version is resolved. */
async function takeUp(
  fleet: StreamFleet,
  host: StreamHost,
  { id, patienceMs = PATIENCE_MS }: {
    readonly id: string;
    readonly patienceMs?: number;
  },
): Promise<Taken> {
  const startedAt = fleet.now;
  let taken: Taken | undefined;
  void host.streams.resolve(stream(id), patienceMs).then((binding) => {
    taken = { binding, waitedMs: fleet.now - startedAt };
  });
  while (!taken) {
    await fleet.run(STEP_MS);
    await new Promise((resolve) => setImmediate(resolve));
    assert.ok(fleet.now - startedAt < 4 * PATIENCE_MS);
  }
  return taken;
}

/** Begins streams of both versions at a host, which its keepers record. */
async function beginAt(
  fleet: StreamFleet,
  host: StreamHost,
): Promise<{ readonly id: string; readonly version: string }[]> {
  const begun = Array.from({ length: STREAMS }, (_, at) => {
    const version = at % 2 === 0 ? "v1" : "v2";
    const id = `stream-${at}`;
    void host.streams.note(stream(id), version, STREAM_TTL_MS);
    return { id, version };
  });
  await fleet.run(SENT_MS);
  return begun;
}

test("keepers that respond late are asked again before a stream is rejected", async () => {
  const fleet = await mixedFleet();
  const begun = await beginAt(fleet, fleet.host(0));
  fleet.latencyMs = LATE_MS;
  for (const { id, version } of begun) {
    const { binding } = await takeUp(fleet, fleet.host(4), { id });
    assert.deepEqual(binding, bound(version), id);
  }
});

test("hosts that are silent for a moment are asked again", async () => {
  const fleet = await mixedFleet();
  const begun = await beginAt(fleet, fleet.host(0));
  const taker = fleet.host(4);
  for (const { id, version } of begun) {
    const silentUntil = fleet.now + PATIENCE_MS / 2;
    fleet.isCut = (from) => from === taker && fleet.now < silentUntil;
    const { binding } = await takeUp(fleet, taker, { id });
    assert.deepEqual(binding, bound(version), id);
  }
});

test("a stream is rejected in time when its keepers stay silent", async () => {
  const fleet = await mixedFleet();
  await beginAt(fleet, fleet.host(0));
  const taker = fleet.host(8);
  fleet.isCut = (from, to) => (from === taker) !== (to === taker);
  const id = "begun elsewhere";
  const { binding, waitedMs } = await takeUp(fleet, taker, { id });
  assert.deepEqual(binding, UNKNOWN);
  assert.ok(waitedMs <= 1.5 * PATIENCE_MS, `${waitedMs}`);
});

test("a stream is rejected at once when all respond and nobody knows it", async () => {
  const fleet = await mixedFleet();
  const { binding, waitedMs } = await takeUp(fleet, fleet.host(4), { id: "x" });
  assert.deepEqual(binding, UNKNOWN);
  assert.ok(waitedMs < 250, `${waitedMs}`);
});

test("a stream is resolved at once without patience", async () => {
  const fleet = await mixedFleet();
  const [first] = await beginAt(fleet, fleet.host(0));
  assert.ok(first);
  fleet.latencyMs = LATE_MS;
  const options = { id: first.id, patienceMs: 0 };
  const { waitedMs } = await takeUp(fleet, fleet.host(4), options);
  assert.ok(waitedMs < PATIENCE_MS / 2, `${waitedMs}`);
});
