/** Which requests are quarantined after which crashes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { CrashTable } from "../../../src/gateway/crashes/crash_table.ts";
import { encodeCrashes } from "../../../src/gateway/crashes/crash_messages.ts";
import {
  type Clearance,
  type CrashRecord,
  type CrashUpdate,
  SuspectKind,
} from "../../../src/gateway/crashes/model.ts";
import "../../fixed_seed.ts";

const RULE = { crashThreshold: 3, ttlMs: 60_000 };
const NOW = 15_000;

function crash(fingerprint: string, incarnation: string, at = 0): CrashRecord {
  return {
    kind: SuspectKind.request,
    fingerprint,
    incarnation,
    at,
    ranMs: 100,
  };
}

function clearance(fingerprint: string, at: number): Clearance {
  return { fingerprint, at, host: "h", responses: 1 };
}

function updateOf(
  records: readonly CrashRecord[],
  clearances: readonly Clearance[] = [],
): CrashUpdate {
  return { records, clearances };
}

/** The requests that are quarantined after these crashes. */
function quarantined(...records: readonly CrashRecord[]): string[] {
  const table = new CrashTable(RULE);
  table.merge(updateOf(records), NOW);
  return [...table.quarantines.keys()].sort();
}

/** Distinct crash times by replica, too far apart to be simultaneous. */
function timeOf(incarnation: string): number {
  return (incarnation.codePointAt(0) ?? 0) * 100;
}

/**
 * Crashes of several replicas, one after another, that ran the same requests.
 */
function crashes(
  incarnations: readonly string[],
  ...fingerprints: readonly string[]
): CrashRecord[] {
  return incarnations.flatMap((incarnation) =>
    fingerprints.map((fingerprint) =>
      crash(fingerprint, incarnation, timeOf(incarnation))
    )
  );
}

test("a request is quarantined after its third crash", () => {
  assert.deepEqual(quarantined(...crashes(["a", "b"], "crashing")), []);
  assert.deepEqual(quarantined(...crashes(["a", "b", "c"], "crashing")), [
    "crashing",
  ]);
});

test("the same crash reported twice counts once", () => {
  const twice = [...crashes(["a", "b"], "g"), ...crashes(["a", "b"], "g")];
  assert.deepEqual(quarantined(...twice), []);
});

test("a request isn't quarantined if a worse one explains all of its crashes", () => {
  const records = [
    ...crashes(["a", "b", "c"], "crashing", "concurrent"),
    ...crashes(["d"], "crashing", "other"),
  ];
  assert.deepEqual(quarantined(...records), ["crashing"]);
});

test("simultaneous crashes don't count for requests that ran at only one replica", () => {
  const together = ["a", "b", "c"].flatMap((replica, index) => [
    crash("r", replica, index * 1000),
    crash(`other ${index}`, `${replica}2`, index * 1000 + 3),
  ]);
  assert.deepEqual(quarantined(...together), []);
  const apart = together.map((record) =>
    record.fingerprint === "r" ? record : { ...record, at: record.at + 100 }
  );
  assert.deepEqual(quarantined(...apart), ["r"]);
});

test("simultaneous crashes of replicas that ran the same request all count", () => {
  const records = [crash("g", "a", 0), crash("g", "b", 2), crash("g", "c", 9)];
  assert.deepEqual(quarantined(...records), ["g"]);
});

test("a request is quarantined for crashes that no worse request explains", () => {
  const records = [
    ...crashes(["a", "b", "c", "d"], "crashing"),
    ...crashes(["a", "e", "f", "g"], "crashing too"),
  ];
  assert.deepEqual(quarantined(...records), ["crashing", "crashing too"]);
});

test("requests that always ran together need two more crashes", () => {
  assert.deepEqual(quarantined(...crashes(["a", "b", "c"], "x", "y")), []);
  assert.deepEqual(quarantined(...crashes(["a", "b", "c", "d"], "x", "y")), []);
  const alone = [...crashes(["a", "b", "c"], "x", "y"), ...crashes(["d"], "y")];
  assert.deepEqual(quarantined(...alone), ["y"]);
  const five = ["a", "b", "c", "d", "e"];
  assert.equal(quarantined(...crashes(five, "x", "y")).length, 1);
});

test("a complete response clears a request of its earlier crashes", () => {
  const table = new CrashTable(RULE);
  table.merge(updateOf(crashes(["a", "b", "c"], "g")), NOW);
  assert.ok(table.quarantineOf("g", NOW));
  table.merge(
    updateOf([], [
      clearance("g", timeOf("c") + 1),
    ]),
    NOW,
  );
  assert.equal(table.quarantineOf("g", NOW), undefined);
  table.merge(updateOf(crashes(["d", "e"], "g")), NOW);
  assert.equal(table.quarantineOf("g", NOW), undefined);
  table.merge(updateOf(crashes(["f"], "g")), NOW);
  assert.deepEqual(table.quarantineOf("g", NOW)?.incarnations, ["d", "e", "f"]);
});

test("a quarantine ends when the TTL of the last crash expires", () => {
  const table = new CrashTable(RULE);
  const records = ["a", "b", "c"].map((replica, index) =>
    crash("g", replica, index * 1000)
  );
  table.merge(updateOf(records), 2000);
  assert.equal(table.quarantineOf("g", 61_999)?.until, 62_000);
  assert.equal(table.quarantineOf("g", 62_000), undefined);
  assert.equal(table.all(62_000).records.length, 0);
});

test("a table is bounded and keeps the requests with the most crashes", () => {
  const table = new CrashTable(RULE);
  table.merge(updateOf(crashes(["a", "b", "c"], "crashing")), 0);
  for (let at = 0; at < 5000; at++) {
    table.merge(updateOf([crash(`r${at}`, "d")]), 0);
  }
  assert.equal(table.size, 1000);
  assert.ok(table.quarantineOf("crashing", 0));
  const many = Array.from(
    { length: 100 },
    (_, at) => crash("crashing", `i${at}`),
  );
  table.merge(updateOf(many), 0);
  const all = table.all(0).records;
  assert.ok(
    all.filter((record) => record.fingerprint === "crashing").length <= 8,
  );
});

test("messages of a full table fit a link and a row", () => {
  const table = new CrashTable(RULE);
  const incarnations = Array.from(
    { length: 8 },
    (_, at) => `i-${"0".repeat(10)}${at}@${1e12}`,
  );
  for (let at = 0; at < 1000; at++) {
    const fingerprint = String(at).padStart(32, "0");
    table.merge(updateOf(crashes(incarnations, fingerprint)), NOW);
  }
  const sizeOf = (update: CrashUpdate) =>
    JSON.stringify(encodeCrashes(update, NOW)).length;
  assert.ok(sizeOf(table.all(NOW)) < 1 << 20);
  const worst = table.worst({ minCount: 2, limit: 50 }, NOW);
  assert.equal(worst.records.length, 400);
  assert.ok(sizeOf(worst) < 48 * 1024);
});

const Fingerprint = fc.constantFrom("r", "s", "t", "u");
const Record = fc.record({
  kind: fc.constant(SuspectKind.request),
  ranMs: fc.constantFrom(100, 2000),
  fingerprint: Fingerprint,
  incarnation: fc.constantFrom("a", "b", "c", "d", "e", "f"),
  at: fc.integer({ min: 0, max: 5000 }),
});
const ClearanceArbitrary = fc.record({
  host: fc.constantFrom("h", "i"),
  responses: fc.constant(1),
  fingerprint: Fingerprint,
  at: fc.integer({ min: 0, max: 5000 }),
});
const Update = fc.record({
  records: fc.array(Record, { maxLength: 6 }),
  clearances: fc.array(ClearanceArbitrary, { maxLength: 1 }),
});

test("hosts that receive the same crashes in any order, and more than once, agree", () => {
  fc.assert(
    fc.property(
      fc.array(Update, { maxLength: 8 }),
      fc.array(fc.nat(), { maxLength: 16 }),
      (received, picks) => {
        // Each crash has a single time; only the order of updates is random.
        const times = new Map<string, number>();
        const updates = received.map(({ records, clearances }) =>
          updateOf(
            records.map((record) => {
              const key = `${record.fingerprint} ${record.incarnation}`;
              const at = times.get(key) ?? record.at;
              times.set(key, at);
              return { ...record, at };
            }),
            clearances,
          )
        );
        // A clearance has no effect at hosts without a record of the request.
        const first = updateOf(updates.flatMap((update) => update.records));
        const clearances = updates.flatMap((update) => update.clearances);
        const shuffled = [...updates].sort((a, b) =>
          (picks[updates.indexOf(a)] ?? 0) - (picks[updates.indexOf(b)] ?? 0)
        );
        const here = new CrashTable(RULE);
        const there = new CrashTable(RULE);
        here.merge(updateOf(first.records, clearances), NOW);
        for (const update of [...shuffled, ...updates]) {
          there.merge(update, NOW);
        }
        assert.deepEqual(
          [...there.quarantines.keys()].sort(),
          [...here.quarantines.keys()].sort(),
        );
      },
    ),
  );
});

test("a request that runs alone at three crashes is always quarantined", () => {
  fc.assert(
    fc.property(fc.array(Record, { maxLength: 30 }), (records) => {
      const alone = crashes(["x", "y", "z"], "crashing");
      assert.ok(quarantined(...records, ...alone).includes("crashing"));
    }),
  );
});
