/**
 * Requests that were served more often than replicas crashed under them: when
 * they are quarantined all the same, and for how long.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashTable } from "../../../src/gateway/crashes/crash_table.ts";
import {
  decodeCrashes,
  encodeCrashes,
} from "../../../src/gateway/crashes/crash_messages.ts";
import {
  type Clearance,
  type CrashRecord,
  SuspectKind,
} from "../../../src/gateway/crashes/model.ts";
import { RecentResponses } from "../../../src/gateway/crashes/recent_responses.ts";

const RULE = { crashThreshold: 3, ttlMs: 300_000 };
const INTERVAL_MS = 1000;
const PROBATION_MS = 60_000;

function crashAt(at: number): CrashRecord[] {
  const crash = { incarnation: `i ${at}`, at, ranMs: 100 };
  return [
    { kind: SuspectKind.request, fingerprint: "poll", ...crash },
    { kind: SuspectKind.service, fingerprint: "service", ...crash },
  ];
}

function answered(fingerprint: string, at: number, responses = 1): Clearance {
  return { fingerprint, at, host: "h", responses };
}

/**
 * A table with crashes at intervals of a second under a request that was served
 * 20 times before. Other requests are served behind the first `served` of them.
 */
function tableWith(
  { crashes, served }: { readonly crashes: number; readonly served: number },
): CrashTable {
  const table = new CrashTable(RULE);
  for (let count = 1; count <= crashes; count++) {
    const at = count * INTERVAL_MS;
    table.merge({ records: crashAt(at), clearances: [] }, at);
    const clearances = [
      answered("poll", 0, 20),
      ...(count <= served ? [answered("service", at + INTERVAL_MS / 2)] : []),
    ];
    table.merge({ records: [], clearances }, at + INTERVAL_MS / 2);
  }
  return table;
}

function isRefused(table: CrashTable, now: number): boolean {
  return table.quarantineOf("poll", now) !== undefined;
}

test("a request that was served is refused after five crashes if others are served between them", () => {
  const now = 10_000;
  for (
    const [crashes, served, expected] of [
      [3, 3, false],
      [4, 4, false],
      [5, 4, false],
      [5, 5, true],
      [8, 0, false],
      [8, 8, true],
    ] as const
  ) {
    const table = tableWith({ crashes, served });
    assert.equal(isRefused(table, now), expected, `${crashes}, ${served}`);
  }
});

test("a quarantine of a request that was served ends after a minute, and a further crash renews it for twice as long", () => {
  const table = tableWith({ crashes: 5, served: 5 });
  const endsAt = 5 * INTERVAL_MS + PROBATION_MS;
  assert.equal(isRefused(table, endsAt - 1), true);
  assert.equal(isRefused(table, endsAt), false);
  table.merge({ records: crashAt(endsAt + 100), clearances: [] }, endsAt + 100);
  const renewedUntil = endsAt + 100 + 2 * PROBATION_MS;
  assert.equal(isRefused(table, renewedUntil - 1), true);
  assert.equal(isRefused(table, renewedUntil), false);
});

test("a response during the trial ends the suspicion", () => {
  const table = tableWith({ crashes: 5, served: 5 });
  const endsAt = 5 * INTERVAL_MS + PROBATION_MS;
  const clearances = [answered("poll", endsAt + 50, 21)];
  table.merge({ records: [], clearances }, endsAt + 50);
  table.merge({ records: crashAt(endsAt + 100), clearances: [] }, endsAt + 100);
  assert.equal(isRefused(table, endsAt + 100), false);
});

test("responses of several hosts count together, each host's once", () => {
  const table = new CrashTable(RULE);
  // Three crashes before the responses, and three behind them.
  const records = [-5, -4, -3, 1, 2, 3]
    .flatMap((count) => crashAt(count * INTERVAL_MS));
  table.merge({ records, clearances: [] }, 4000);
  assert.equal(isRefused(table, 4000), true);
  const from = (host: string) => ({ ...answered("poll", 0, 2), host });
  const merge = (clearance: Clearance) =>
    table.merge({ records: [], clearances: [clearance] }, 4000);
  merge(from("a"));
  merge(from("a"));
  assert.equal(isRefused(table, 4000), true);
  merge(from("b"));
  assert.equal(isRefused(table, 4000), false);
});

test("responses and services survive encoding, and messages of earlier versions are read", () => {
  const update = {
    records: crashAt(1000),
    clearances: [answered("poll", 500, 7)],
  };
  const message = encodeCrashes(update, 2000);
  assert.deepEqual(decodeCrashes(message, 2000), update);
  const earlier = {
    type: "crashes" as const,
    crashes: message.crashes,
    answered: [{ fingerprint: "poll", agoMs: 1500 }],
  };
  const { records, clearances } = decodeCrashes(earlier, 2000);
  assert.deepEqual(records, update.records.slice(0, 1));
  assert.deepEqual(clearances, [{ ...answered("poll", 500), host: "" }]);
});

test("the number of counted requests is bounded, and the latest are kept", () => {
  const recent = new RecentResponses("h");
  for (let at = 0; at < 10_000; at++) {
    recent.note(`r${at}`, at);
    recent.note("poll", at);
  }
  const fingerprints = ["poll", "r0", "r9999"];
  assert.deepEqual(recent.clearancesOf(fingerprints, 9998), [
    answered("poll", 9999, 10_000),
    answered("r9999", 9999),
  ]);
  assert.deepEqual(recent.clearancesOf(["r0"], -1), []);
  assert.deepEqual(recent.clearancesOf(fingerprints, 9999), []);
});
