/**
 * Guards against rows of other writers among those of the replicas that end
 * host processes, stop them from following the store, or make all hosts of a
 * fleet read the store themselves.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import {
  IGNORED_ODD_FIELDS,
  oddRows,
  type RowFields,
  rowText,
} from "../platform/odd_rows.ts";
import { CallKind } from "./call.ts";
import { sleep } from "./sleep.ts";
import {
  areServedAtAll,
  isServed,
  reportedGauge,
  runCallers,
  runCallersUntil,
  type TestFleet,
  withFleet,
} from "./test_fleet.ts";

const HOSTS = 3;
const KINDS = [CallKind.safe, CallKind.stream];
const SERVED_MS = 4000;
/** Changes of the listing, which hosts without a reader read themselves. */
const CHANGES = 20;
const CHANGE_INTERVAL_MS = 300;
/** A reader makes a call for each change, and a few others. */
const MAX_READER_CALLS = CHANGES + 6;
/** Hosts may choose another reader meanwhile, which reads the listing first. */
const MAX_ROUNDS = 3;
/** All hosts have listed a row that was written this long ago. */
const LISTED_MS = 1500;

/** A sound row of a replica; nothing listens at its address. */
function soundRow(service: "plain" | "engine"): RowFields {
  return {
    Service: JSON.stringify(service),
    Address: '"127.0.0.1:9"',
    Zone: '"north"',
    Version: '"v1"',
    Slots: "64",
    State: '"ready"',
    ColdRemainingMs: "0",
    Sequence: "1",
    born: "1",
    ...(service === "engine"
      ? { Stage: '"decode"', Models: '[{"Name":"m"}]' }
      : {}),
  };
}

function startsOf({ hosts }: TestFleet): unknown[] {
  return hosts.map(({ process: { name, pid, startCount, exits } }) => ({
    name,
    pid,
    startCount,
    exits,
  }));
}

/** Calls to the store that each host makes in a while with changing entries. */
async function countCalls({ world, hosts }: TestFleet): Promise<number[]> {
  const read = () =>
    Promise.all(
      hosts.map((host) => reportedGauge(host, "store_calls_total")),
    );
  const before = await read();
  for (let at = 0; at < CHANGES; at++) {
    const Slots = String(at + 1);
    const text = rowText({ ...soundRow("plain"), State: '"draining"', Slots });
    world.store.putBytes("servers", "changing", Buffer.from(text));
    await sleep(CHANGE_INTERVAL_MS);
  }
  world.store.remove("servers", "changing");
  const after = await read();
  return after.map((count, at) => (count ?? NaN) - (before[at] ?? NaN));
}

/** Fails unless one host reads changes of the listing for all of them. */
async function checkFollowers(fleet: TestFleet): Promise<void> {
  const rounds: string[] = [];
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const calls = await countCalls(fleet);
    const sum = calls.reduce((total, count) => total + count, 0);
    if (sum <= MAX_READER_CALLS) return;
    rounds.push(calls.join());
  }
  assert.fail(`Calls of each host: ${rounds.join("; ")}`);
}

/** Ends all replicas and starts others, so that only new ones can serve. */
async function replaceReplicas({ world }: TestFleet): Promise<void> {
  for (const replica of world.readyReplicas()) await world.crash(replica);
}

/** Runs a check in a fleet while odd rows stand among the replicas'. */
async function withOddRows(
  write: (fleet: TestFleet) => void,
  check: (fleet: TestFleet) => Promise<void> = () => Promise.resolve(),
): Promise<void> {
  await withFleet(async (fleet) => {
    const starts = startsOf(fleet);
    await runCallers(fleet, { kinds: KINDS, forMs: SERVED_MS / 2 });
    await checkFollowers(fleet);
    write(fleet);
    await sleep(LISTED_MS);
    await checkFollowers(fleet);
    await check(fleet);
    await runCallers(fleet, { kinds: KINDS, forMs: SERVED_MS });
    assert.deepEqual(startsOf(fleet), starts);
    await replaceReplicas(fleet);
    const results = await runCallersUntil(fleet, {
      kinds: KINDS,
      condition: (results) => areServedAtAll(fleet, results),
      what: "all hosts serve from the new replicas",
    });
    assert.ok(results.some(isServed));
    assert.deepEqual(startsOf(fleet), starts);
  }, { hosts: HOSTS });
}

const ENDED = "a replica's odd address ends no host";
test(ENDED, knownRed(ENDED), async () => {
  await withOddRows(({ world }) => {
    for (const service of ["plain", "engine"] as const) {
      const Address = JSON.stringify("127.0.0.1: 80");
      const text = rowText({ ...soundRow(service), Address });
      world.store.putBytes("servers", `odd-${service}`, Buffer.from(text));
    }
  });
});

const INFINITE = "a number that JSON can't express doesn't stop followers";
test(INFINITE, knownRed(INFINITE), async () => {
  await withOddRows(({ world }) => {
    const text = rowText({ ...soundRow("plain"), ColdRemainingMs: "1e400" });
    world.store.putBytes("servers", "odd", Buffer.from(text));
  });
});

const ALL = "hosts serve and follow the store beside odd rows of all kinds";
test(ALL, knownRed(ALL), async () => {
  await withOddRows(({ world }) => {
    for (const service of ["plain", "engine"] as const) {
      const sound = soundRow(service);
      for (const { name, value } of oddRows(sound)) {
        world.store.putBytes("servers", `odd-${service}-${name}`, value);
      }
      for (const [at, [field, value]] of IGNORED_ODD_FIELDS.entries()) {
        const bytes = Buffer.from(rowText({ ...sound, [field]: value }));
        world.store.putBytes("servers", `ignored-${service}-${at}`, bytes);
      }
    }
  });
});

const OWN_ID = "a replica whose row another writer replaced for a while serves";
test(OWN_ID, knownRed(OWN_ID), async () => {
  await withOddRows(({ world }) => {
    for (const replica of world.readyReplicas()) {
      const { id } = replica.standin;
      const rows = oddRows(soundRow("plain"));
      for (const { value } of rows) {
        world.store.putBytes("servers", id, value);
      }
    }
  }, async (fleet) => {
    for (const replica of fleet.world.readyReplicas()) {
      fleet.world.putEntry(replica);
    }
    await runCallersUntil(fleet, {
      kinds: KINDS,
      condition: (results) => areServedAtAll(fleet, results),
      what: "all hosts serve again",
    });
  });
});
