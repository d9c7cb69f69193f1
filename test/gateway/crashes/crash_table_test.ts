/** Which requests are blamed for crashes; pure, by property and by case. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { CrashTable } from "../../../src/gateway/crashes/crash_table.ts";
import { encodeCrashes } from "../../../src/gateway/crashes/crash_messages.ts";
import type {
  Acquittal,
  CrashNews,
  CrashRecord,
} from "../../../src/gateway/crashes/model.ts";
import "../../fixed_seed.ts";

const RULE = { most: 3, lifeMs: 60_000 };
const NOW = 15_000;

function crash(fingerprint: string, incarnation: string, at = 0): CrashRecord {
  return { fingerprint, incarnation, at };
}

function news(
  records: readonly CrashRecord[],
  acquittals: readonly Acquittal[] = [],
): CrashNews {
  return { records, acquittals };
}

/** The requests that are sent to no replica after these crashes. */
function blamed(...records: readonly CrashRecord[]): string[] {
  const table = new CrashTable(RULE);
  table.take(news(records), NOW);
  return [...table.quarantines.keys()].sort();
}

/** Far from each other, by the replica's name. */
function timeOf(incarnation: string): number {
  return (incarnation.codePointAt(0) ?? 0) * 100;
}

/** Crashes of several replicas, one by one, each under the same requests. */
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

test("a request is blamed from its third crash on", () => {
  assert.deepEqual(blamed(...crashes(["a", "b"], "guilty")), []);
  assert.deepEqual(blamed(...crashes(["a", "b", "c"], "guilty")), ["guilty"]);
});

test("the same crash told twice counts once", () => {
  const twice = [...crashes(["a", "b"], "g"), ...crashes(["a", "b"], "g")];
  assert.deepEqual(blamed(...twice), []);
});

test("what ran beside a worse request at each of its crashes isn't blamed", () => {
  const records = [
    ...crashes(["a", "b", "c"], "guilty", "beside"),
    ...crashes(["d"], "guilty", "other"),
  ];
  assert.deepEqual(blamed(...records), ["guilty"]);
});

test("replicas that crash in the same moment are laid to none that ran at one", () => {
  const together = ["a", "b", "c"].flatMap((one, at) => [
    crash("r", one, at * 1000),
    crash(`other ${at}`, `${one}2`, at * 1000 + 3),
  ]);
  assert.deepEqual(blamed(...together), []);
  const apart = together.map((one) =>
    one.fingerprint === "r" ? one : { ...one, at: one.at + 100 }
  );
  assert.deepEqual(blamed(...apart), ["r"]);
});

test("two replicas that a request crashes in the same moment both count", () => {
  const records = [crash("g", "a", 0), crash("g", "b", 2), crash("g", "c", 9)];
  assert.deepEqual(blamed(...records), ["g"]);
});

test("crashes that no worse request explains are laid to a request", () => {
  const records = [
    ...crashes(["a", "b", "c", "d"], "guilty"),
    ...crashes(["a", "e", "f", "g"], "too"),
  ];
  assert.deepEqual(blamed(...records), ["guilty", "too"]);
});

test("which of two that always crashed together it was stays open for two more", () => {
  assert.deepEqual(blamed(...crashes(["a", "b", "c"], "x", "y")), []);
  assert.deepEqual(blamed(...crashes(["a", "b", "c", "d"], "x", "y")), []);
  const alone = [...crashes(["a", "b", "c"], "x", "y"), ...crashes(["d"], "y")];
  assert.deepEqual(blamed(...alone), ["y"]);
  const five = ["a", "b", "c", "d", "e"];
  assert.equal(blamed(...crashes(five, "x", "y")).length, 1);
});

test("a request that is answered whole is acquitted of what came before", () => {
  const table = new CrashTable(RULE);
  table.take(news(crashes(["a", "b", "c"], "g")), NOW);
  assert.ok(table.quarantineOf("g", NOW));
  table.take(news([], [{ fingerprint: "g", at: timeOf("c") + 1 }]), NOW);
  assert.equal(table.quarantineOf("g", NOW), undefined);
  table.take(news(crashes(["d", "e"], "g")), NOW);
  assert.equal(table.quarantineOf("g", NOW), undefined);
  table.take(news(crashes(["f"], "g")), NOW);
  assert.deepEqual(table.quarantineOf("g", NOW)?.incarnations, ["d", "e", "f"]);
});

test("a request may be sent again some time after its last crash", () => {
  const table = new CrashTable(RULE);
  const records = ["a", "b", "c"].map((one, at) => crash("g", one, at * 1000));
  table.take(news(records), 2000);
  assert.equal(table.quarantineOf("g", 61_999)?.until, 62_000);
  assert.equal(table.quarantineOf("g", 62_000), undefined);
  assert.equal(table.all(62_000).records.length, 0);
});

test("a table stays bounded, and keeps those with the most crashes", () => {
  const table = new CrashTable(RULE);
  table.take(news(crashes(["a", "b", "c"], "guilty")), 0);
  for (let at = 0; at < 5000; at++) {
    table.take(news([crash(`r${at}`, "d")]), 0);
  }
  assert.equal(table.size, 1000);
  assert.ok(table.quarantineOf("guilty", 0));
  const many = Array.from(
    { length: 100 },
    (_, at) => crash("guilty", `i${at}`),
  );
  table.take(news(many), 0);
  const all = table.all(0).records;
  assert.ok(all.filter((one) => one.fingerprint === "guilty").length <= 8);
});

test("what is told of a full table fits a link and a row", () => {
  const table = new CrashTable(RULE);
  const incarnations = Array.from(
    { length: 8 },
    (_, at) => `i-${"0".repeat(10)}${at}@${1e12}`,
  );
  for (let at = 0; at < 1000; at++) {
    const fingerprint = String(at).padStart(32, "0");
    table.take(news(crashes(incarnations, fingerprint)), NOW);
  }
  const sizeOf = (told: CrashNews) =>
    JSON.stringify(encodeCrashes(told, NOW)).length;
  assert.ok(sizeOf(table.all(NOW)) < 1 << 20);
  const worst = table.worst({ least: 2, most: 50 }, NOW);
  assert.equal(worst.records.length, 400);
  assert.ok(sizeOf(worst) < 48 * 1024);
});

const Fingerprint = fc.constantFrom("r", "s", "t", "u");
const Record = fc.record({
  fingerprint: Fingerprint,
  incarnation: fc.constantFrom("a", "b", "c", "d", "e", "f"),
  at: fc.integer({ min: 0, max: 5000 }),
});
const Answer = fc.record({
  fingerprint: Fingerprint,
  at: fc.integer({ min: 0, max: 5000 }),
});
const Told = fc.record({
  records: fc.array(Record, { maxLength: 6 }),
  acquittals: fc.array(Answer, { maxLength: 1 }),
});

test("hosts that were told the same crashes, in any order and more than once, agree", () => {
  fc.assert(
    fc.property(
      fc.array(Told, { maxLength: 8 }),
      fc.array(fc.nat(), { maxLength: 16 }),
      (told, picks) => {
        // One time a crash, as each has: only the order of telling is drawn.
        const times = new Map<string, number>();
        const unified = told.map(({ records, acquittals }) =>
          news(
            records.map((one) => {
              const key = `${one.fingerprint} ${one.incarnation}`;
              const at = times.get(key) ?? one.at;
              times.set(key, at);
              return { ...one, at };
            }),
            acquittals,
          )
        );
        // An acquittal means something to those only that know the request.
        const first = news(unified.flatMap((one) => one.records));
        const answers = unified.flatMap((one) => one.acquittals);
        const shuffled = [...unified].sort((a, b) =>
          (picks[unified.indexOf(a)] ?? 0) - (picks[unified.indexOf(b)] ?? 0)
        );
        const here = new CrashTable(RULE);
        const there = new CrashTable(RULE);
        here.take(news(first.records, answers), NOW);
        for (const one of [...shuffled, ...unified]) there.take(one, NOW);
        assert.deepEqual(
          [...there.quarantines.keys()].sort(),
          [...here.quarantines.keys()].sort(),
        );
      },
    ),
  );
});

test("whoever runs alone at three crashes is blamed, whatever ran elsewhere", () => {
  fc.assert(
    fc.property(fc.array(Record, { maxLength: 30 }), (records) => {
      const alone = crashes(["x", "y", "z"], "guilty");
      assert.ok(blamed(...records, ...alone).includes("guilty"));
    }),
  );
});
