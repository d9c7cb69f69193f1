/** Records of parts of prompts that ran at crashed replicas. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { CrashTable } from "../../../src/gateway/crashes/crash_table.ts";
import {
  decodeCrashes,
  encodeCrashes,
  splitUpdate,
} from "../../../src/gateway/crashes/crash_messages.ts";
import {
  type CrashRecord,
  SuspectKind,
} from "../../../src/gateway/crashes/model.ts";
import "../../fixed_seed.ts";

const RULE = { crashThreshold: 3, ttlMs: 60_000 };
const NOW = 15_000;

const PartRecord = fc.record({
  kind: fc.constant(SuspectKind.part),
  fingerprint: fc.constantFrom("p", "q"),
  incarnation: fc.constantFrom("a", "b", "c", "d", "e", "f"),
  at: fc.constant(0),
  ranMs: fc.constantFrom(50, 100, 2000),
  prompt: fc.record({
    request: fc.constantFrom("r", "s", "t", "u"),
    depth: fc.constant(1),
  }),
});

test("hosts that receive the crashes of parts in any order, and more than once, agree", () => {
  fc.assert(
    fc.property(
      fc.array(PartRecord, { maxLength: 40 }),
      fc.array(fc.nat(), { maxLength: 40 }),
      (found, picks) => {
        // Each crash has a single time.
        const records = found.map((record) => ({
          ...record,
          at: (record.incarnation.codePointAt(0) ?? 0) * 100,
        }));
        const shuffled = [...records.keys()]
          .sort((a, b) => (picks[a] ?? 0) - (picks[b] ?? 0))
          .map((index) => records[index] as CrashRecord);
        const here = new CrashTable(RULE);
        const there = new CrashTable(RULE);
        here.merge({ records, clearances: [] }, NOW);
        for (const record of [...shuffled, ...records]) {
          there.merge({ records: [record], clearances: [] }, NOW);
        }
        assert.deepEqual(
          [...there.quarantines.keys()].sort(),
          [...here.quarantines.keys()].sort(),
        );
      },
    ),
  );
});

test("a full table with parts is split into messages that fit a link", () => {
  const table = new CrashTable(RULE);
  const incarnations = Array.from(
    { length: 24 },
    (_, at) => `i-${"0".repeat(10)}${at}@${1e12}`,
  );
  for (let at = 0; at < 1000; at++) {
    const fingerprint = String(at).padStart(32, "0");
    const records = incarnations.map((incarnation) => ({
      kind: SuspectKind.request,
      fingerprint,
      incarnation,
      at: 0,
      ranMs: 123_456,
    }));
    const parts = records.map((record, index) => ({
      ...record,
      kind: SuspectKind.part,
      fingerprint: fingerprint.replace("0", "p"),
      prompt: { request: String(index).padStart(8, "0"), depth: 10 },
    }));
    const clearances = Array.from({ length: 16 }, (_, host) => ({
      fingerprint: fingerprint.replace("0", "p"),
      at: -1,
      host: `frontend-quimper-hall-${host}`,
      responses: 1,
    }));
    table.merge({ records: [...records, ...parts], clearances }, NOW);
  }
  const { records } = table.all(NOW);
  const messages = splitUpdate(table.all(NOW))
    .map((part) => encodeCrashes(part, NOW));
  for (const message of messages) {
    assert.ok(JSON.stringify(message).length < 1 << 20);
  }
  const sent = messages.flatMap((message) =>
    decodeCrashes(message, NOW).records
  );
  assert.equal(sent.length, records.length);
  const worst = table.worst({ minCount: 2, limit: 30 }, NOW);
  const row = JSON.stringify(encodeCrashes(worst, NOW));
  assert.ok(row.length < 48 * 1024, `${row.length} bytes`);
});
