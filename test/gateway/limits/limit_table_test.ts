/** The limit table, when responses and records arrive out of order. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LimitTable } from "../../../src/gateway/limits/limit_table.ts";
import type { LimitHeader } from "../../../src/gateway/mod.ts";

const NONE: LimitHeader = { type: "none" };

function limit(perSecond: number): LimitHeader {
  return { type: "limit", perSecond };
}

function createTable(): {
  readonly table: LimitTable;
  observe(header: LimitHeader, sentAt: number, now: number): boolean;
} {
  const table = new LimitTable();
  const observe = (header: LimitHeader, sentAt: number, now: number) =>
    table.observe({ incarnation: "r", header, sentAt }, now) !== undefined;
  return { table, observe };
}

test("a limit applies until the response to a later request names none", () => {
  const { table, observe } = createTable();
  assert.equal(observe(NONE, 0, 10), false);
  assert.ok(observe(limit(1.4), 20, 100));
  assert.equal(observe(limit(1.4), 30, 110), false);
  assert.equal(table.limitOf("r"), 1.4);
  // Sent before the limit was recorded: its response may be the older one.
  assert.equal(observe(NONE, 90, 120), false);
  assert.equal(table.limitOf("r"), 1.4);
  assert.ok(observe(NONE, 101, 130));
  assert.equal(table.limitOf("r"), undefined);
  assert.equal(table.limited, 0);
});

test("a limit falls at once and rises only by the response to a later request", () => {
  const { table, observe } = createTable();
  observe(limit(2), 0, 100);
  assert.ok(observe(limit(1), 0, 110));
  assert.equal(observe(limit(3), 105, 120), false);
  assert.equal(table.limitOf("r"), 1);
  assert.ok(observe(limit(3), 111, 130));
  assert.equal(table.limitOf("r"), 3);
});

test("an unreadable header doesn't change the limit", () => {
  const { table, observe } = createTable();
  const unreadable: LimitHeader = { type: "unreadable", text: "1,4" };
  assert.equal(observe(unreadable, 0, 10), false);
  observe(limit(0), 20, 30);
  assert.equal(observe(unreadable, 40, 50), false);
  assert.equal(table.limitOf("r"), 0);
});

test("of records received out of order the strictest recent one applies", () => {
  const table = new LimitTable();
  const named = { incarnation: "r", perSecond: 1, at: 5000 };
  const ended = { incarnation: "r", at: 5500 };
  assert.deepEqual(table.merge([named]), [named]);
  assert.deepEqual(table.merge([named]), []);
  // With its time in transit it may be older than the limit.
  assert.deepEqual(table.merge([ended]), []);
  assert.equal(table.limitOf("r"), 1);
  const later = { ...ended, at: 6500 };
  assert.deepEqual(table.merge([later]), [later]);
  // An older record of the limit arrives over another path.
  assert.deepEqual(table.merge([named]), []);
  assert.equal(table.limited, 0);
});

test("beyond the maximum number of replicas the oldest records are evicted", () => {
  const table = new LimitTable();
  for (let at = 0; at < 5000; at++) {
    table.merge([{ incarnation: `r${at}`, perSecond: 1, at }]);
  }
  assert.equal(table.all().length, 3000);
  assert.equal(table.limited, 3000);
  assert.equal(table.limitOf("r0"), undefined);
  assert.equal(table.limitOf("r4999"), 1);
});
