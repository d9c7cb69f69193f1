/** What a host knows of replicas' limits, whatever overtakes what. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LimitTable } from "../../../src/gateway/limits/limit_table.ts";
import type { LimitHeader } from "../../../src/gateway/mod.ts";

const NONE: LimitHeader = { type: "none" };

function limit(perSecond: number): LimitHeader {
  return { type: "limit", perSecond };
}

function tableOf(): {
  readonly table: LimitTable;
  hear(header: LimitHeader, sentAt: number, now: number): boolean;
} {
  const table = new LimitTable();
  const hear = (header: LimitHeader, sentAt: number, now: number) =>
    table.hear({ incarnation: "r", header, sentAt }, now) !== undefined;
  return { table, hear };
}

test("a limit holds until a later request's answer names none", () => {
  const { table, hear } = tableOf();
  assert.equal(hear(NONE, 0, 10), false);
  assert.ok(hear(limit(1.4), 20, 100));
  assert.equal(hear(limit(1.4), 30, 110), false);
  assert.equal(table.limitOf("r"), 1.4);
  // Sent before the limit was heard of: its answer may be the older one.
  assert.equal(hear(NONE, 90, 120), false);
  assert.equal(table.limitOf("r"), 1.4);
  assert.ok(hear(NONE, 101, 130));
  assert.equal(table.limitOf("r"), undefined);
  assert.equal(table.limited, 0);
});

test("a limit falls at once and rises only by a later request's answer", () => {
  const { table, hear } = tableOf();
  hear(limit(2), 0, 100);
  assert.ok(hear(limit(1), 0, 110));
  assert.equal(hear(limit(3), 105, 120), false);
  assert.equal(table.limitOf("r"), 1);
  assert.ok(hear(limit(3), 111, 130));
  assert.equal(table.limitOf("r"), 3);
});

test("what is no number leaves a limit as it was", () => {
  const { table, hear } = tableOf();
  const unreadable: LimitHeader = { type: "unreadable", text: "1,4" };
  assert.equal(hear(unreadable, 0, 10), false);
  hear(limit(0), 20, 30);
  assert.equal(hear(unreadable, 40, 50), false);
  assert.equal(table.limitOf("r"), 0);
});

test("hosts that are told in any order know the strictest of late", () => {
  const table = new LimitTable();
  const begun = { incarnation: "r", perSecond: 1, at: 5000 };
  const ended = { incarnation: "r", at: 5500 };
  assert.deepEqual(table.take([begun]), [begun]);
  assert.deepEqual(table.take([begun]), []);
  // It may have been under way since before the limit.
  assert.deepEqual(table.take([ended]), []);
  assert.equal(table.limitOf("r"), 1);
  const later = { ...ended, at: 6500 };
  assert.deepEqual(table.take([later]), [later]);
  // An older word of the limit comes by another way.
  assert.deepEqual(table.take([begun]), []);
  assert.equal(table.limited, 0);
});

test("of more replicas than a fleet has the oldest words are forgotten", () => {
  const table = new LimitTable();
  for (let at = 0; at < 5000; at++) {
    table.take([{ incarnation: `r${at}`, perSecond: 1, at }]);
  }
  assert.equal(table.all().length, 3000);
  assert.equal(table.limited, 3000);
  assert.equal(table.limitOf("r0"), undefined);
  assert.equal(table.limitOf("r4999"), 1);
});
