/** When a truncated response counts as a crash of its replica. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashWatch } from "../../../src/gateway/crashes/crash_watch.ts";
import type { EventFields } from "../../../src/gateway/observe/event_log.ts";
import { SuspectKind } from "../../../src/gateway/crashes/model.ts";
import type { ProbeResult } from "../../../src/gateway/upstreams/probe.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import {
  namedFingerprints,
  SERVICE_FINGERPRINT,
} from "./named_fingerprints.ts";
import { replicaEntry } from "../replica_entry.ts";
import { UNASKED } from "./unasked.ts";

const ENTRY = replicaEntry("a");

/** Creates a watch in virtual time; probes take 2 ms. */
function start(probeResult: () => ProbeResult, isAlive = false) {
  const time = new VirtualTime();
  const probes: string[] = [];
  const lines: { readonly name: string; readonly fields: EventFields }[] = [];
  const watch = new CrashWatch({
    clock: time.clock,
    events: { note: (name, fields = {}) => lines.push({ name, fields }) },
    metrics: { count: () => undefined },
    host: "host",
    rule: { crashThreshold: 3, ttlMs: 60_000 },
    isDraining: (entry) => entry.leaving,
    probe: ({ address }) => {
      probes.push(address);
      return new Promise((resolve) => {
        time.clock.after(2, () => resolve(probeResult()));
      });
    },
    countReplicas: () => 2,
    ...UNASKED,
    isAlive: () => Promise.resolve(isAlive),
  });
  const breaks = (name: string, endedByReplica = true, entry = ENTRY) =>
    watch.noteBrokenSend(entry, {
      fingerprints: namedFingerprints(name),
      sentAt: time.now,
      endedByReplica,
    });
  const crashed = () =>
    watch.all().records
      .filter(({ kind }) => kind === SuspectKind.request)
      .map((record) => `${record.fingerprint} ${record.incarnation}`)
      .sort();
  const clearedRequests = () =>
    watch.all().clearances.filter(({ fingerprint }) =>
      fingerprint !== SERVICE_FINGERPRINT
    );
  const logged = (event: string) =>
    lines.filter(({ name }) => name === event).map(({ fields }) => fields);
  return { time, probes, watch, breaks, crashed, clearedRequests, logged };
}

test("requests whose responses broke at a replica that no longer listens ran at its crash", async () => {
  const { time, probes, breaks, crashed } = start(() => "refused");
  breaks("one");
  breaks("two");
  await time.runTo(10);
  breaks("three");
  assert.equal(probes.length, 1);
  assert.deepEqual(crashed(), ["one a", "three a", "two a"]);
});

test("a crash is logged with the parts of the prompts that ran there", async () => {
  const { time, watch, logged } = start(() => "refused");
  const breaks = (name: string, parts: readonly string[]) =>
    watch.noteBrokenSend(ENTRY, {
      fingerprints: namedFingerprints(name, parts),
      sentAt: time.now,
      endedByReplica: true,
    });
  breaks("one", ["common", "a"]);
  breaks("two", ["common", "b"]);
  await time.runTo(10);
  const { parts } = logged("replicaCrashed")[0] ?? {};
  assert.equal(parts, "common:2,a:1,b:1");
});

test("a truncated response of a replica that still listens is no crash", async () => {
  const { time, watch, breaks, crashed } = start(() => "listens");
  breaks("one");
  await time.runTo(10);
  watch.noteRefused(ENTRY);
  assert.deepEqual(crashed(), []);
});

test("a probe without a response is no evidence of a crash", async () => {
  const { time, breaks, crashed } = start(() => "silent");
  breaks("one");
  await time.runTo(500);
  assert.deepEqual(crashed(), []);
});

test("a replica that is removed from the listing soon after a broken send has crashed", async () => {
  for (const result of ["silent", "listens"] as const) {
    const { time, watch, breaks, crashed } = start(() => result);
    breaks("long ago");
    await time.runTo(10_000);
    breaks("one");
    breaks("timed out", false);
    await time.runTo(13_000);
    await watch.noteRemoved(ENTRY);
    assert.deepEqual(crashed(), ["one a", "timed out a"], result);
  }
});

test("a replica that still runs when it is removed from the listing has not crashed", async () => {
  const { watch, breaks, crashed } = start(() => "listens", true);
  breaks("one");
  breaks("timed out", false);
  await watch.noteRemoved(ENTRY);
  assert.deepEqual(crashed(), []);
});

test("a draining replica that ends has not crashed", async () => {
  const { time, probes, watch, breaks, crashed } = start(() => "refused");
  const draining = { ...ENTRY, leaving: true };
  breaks("one", true, draining);
  await time.runTo(10);
  await watch.noteRemoved(draining);
  assert.deepEqual([probes.length, crashed()], [0, []]);
});

test("a crash reported by another host applies to broken sends of this host", async () => {
  const { time, watch, breaks, crashed } = start(() => "silent");
  breaks("one");
  await time.runTo(10);
  const records = [{
    kind: SuspectKind.request,
    fingerprint: "other",
    incarnation: "a",
    at: 8,
    ranMs: 1,
  }];
  watch.merge({ records, clearances: [] }, "peer");
  assert.deepEqual(crashed(), ["one a", "other a"]);
});

test("sends that break during a probe are checked by the next probe", async () => {
  let result: ProbeResult = "listens";
  const { time, probes, breaks, crashed } = start(() => result);
  breaks("one");
  await time.runTo(1);
  breaks("two");
  await time.runTo(3);
  result = "refused";
  await time.runTo(10);
  assert.equal(probes.length, 2);
  assert.deepEqual(crashed(), ["two a"]);
});

test("a request waits for probes only if their result may decide", async () => {
  const { time, watch, breaks } = start(() => "refused");
  const settled: string[] = [];
  const wait = (name: string, sends: number) =>
    void watch.awaitProbes(namedFingerprints(name), sends)
      .then(() => settled.push(`${name} ${sends} at ${time.now}`));
  breaks("one");
  wait("one", 1);
  wait("one", 2);
  await time.runTo(1);
  await time.runTo(10);
  assert.deepEqual(settled, ["one 1 at 1", "one 2 at 2"]);
});

test("the number of stored broken sends is bounded", async () => {
  const { watch, breaks, crashed } = start(() => "silent");
  for (let at = 0; at < 1000; at++) breaks(`r${at}`);
  for (let at = 0; at < 1000; at++) {
    breaks("r", true, replicaEntry(`b${at}`));
  }
  await watch.noteRemoved(replicaEntry("b0"));
  assert.deepEqual(crashed(), []);
  await watch.noteRemoved(replicaEntry("b999"));
  assert.deepEqual(crashed(), ["r b999"]);
});

test("an unconfirmed response clears its request only if the replica still listens", async () => {
  const crashedOther = replicaEntry("other");
  for (const result of ["listens", "refused", "silent"] as const) {
    let probeResult: ProbeResult = "refused";
    const { time, watch, breaks, clearedRequests } = start(() => probeResult);
    breaks("one", true, crashedOther);
    await time.runTo(10);
    probeResult = result;
    void watch.noteUnconfirmed(ENTRY, namedFingerprints("one"));
    await time.runTo(100);
    assert.equal(clearedRequests().length, result === "listens" ? 1 : 0);
  }
});

test("an unconfirmed response of a request without crashes costs no probe", async () => {
  const { time, watch, probes } = start(() => "listens");
  await watch.noteUnconfirmed(ENTRY, namedFingerprints("one"));
  await time.runTo(100);
  assert.equal(probes.length, 0);
});

/** A watch that has seen request "one" crash another replica. */
async function startAfterCrash() {
  const state: { result: ProbeResult } = { result: "refused" };
  const { breaks, ...watched } = start(() => state.result);
  breaks("one", true, replicaEntry("other"));
  await watched.time.runTo(10);
  state.result = "listens";
  watched.probes.length = 0;
  return Object.assign(state, watched);
}

test("a request whose end was just confirmed is cleared without another probe", async () => {
  const rig = await startAfterCrash();
  const { time, watch, probes, clearedRequests } = rig;
  const reported = watch.ends.confirm(ENTRY)
    .then(() => watch.noteUnconfirmed(ENTRY, namedFingerprints("one")));
  await time.runTo(100);
  await reported;
  assert.equal(probes.length, 1);
  assert.equal(clearedRequests().length, 1);
});

test("an earlier confirmation says nothing about a response that ends after it", async () => {
  const rig = await startAfterCrash();
  const { time, watch, probes, clearedRequests } = rig;
  const confirmed = watch.ends.confirm(ENTRY);
  await time.runTo(32);
  assert.equal(await confirmed, true);
  rig.result = "refused";
  void watch.noteUnconfirmed(ENTRY, namedFingerprints("one"));
  await time.runTo(100);
  assert.equal(probes.length, 2);
  assert.equal(clearedRequests().length, 0);
});

test("a confirmation of one replica says nothing about another", async () => {
  const rig = await startAfterCrash();
  const { time, watch, probes, clearedRequests } = rig;
  void watch.ends.confirm(replicaEntry("b")).then(() => {
    rig.result = "refused";
    return watch.noteUnconfirmed(ENTRY, namedFingerprints("one"));
  });
  await time.runTo(100);
  assert.equal(probes.length, 2);
  assert.equal(clearedRequests().length, 0);
});
