/** Rows of replicas: whole, or they name none. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { replicasOf } from "../../platform/replica_row.ts";

const WHOLE = {
  Service: "s",
  Address: "127.0.0.1:1",
  Zone: "h",
  Version: "v1",
  Slots: 12,
  State: "ready",
  Sequence: 3,
  ColdRemainingMs: 0,
  Stage: "decode",
};

function row(key: string, text: string) {
  const Value = Buffer.from(text).toString("base64");
  return { PrivateKey: key, Value, ver: 1 };
}

function faultOf(value: unknown): string | undefined {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  const { entries, faults } = replicasOf([row("a", text)]);
  assert.equal(entries.length + faults.length, 1);
  return faults[0]?.reason;
}

test("two starts of a replica are two incarnations of one id", () => {
  const rows = [1, 2].map((born) =>
    row("a", JSON.stringify({ ...WHOLE, born }))
  );
  const { entries } = replicasOf(rows);
  assert.deepEqual(entries.map((one) => one.id), ["a", "a"]);
  assert.notEqual(entries[0]?.incarnation, entries[1]?.incarnation);
  assert.equal(replicasOf([row("a", JSON.stringify(WHOLE))]).entries.length, 1);
});

test("a row that lacks a field or has a wrong one names no replica", () => {
  assert.equal(faultOf(WHOLE), undefined);
  const lacking = { ...WHOLE, Slots: undefined };
  const wrong: unknown[] = [
    { ...WHOLE, Service: "" },
    { ...WHOLE, Address: 17 },
    { ...WHOLE, Address: "somewhere" },
    { ...WHOLE, Slots: "12" },
    { ...WHOLE, Slots: 0 },
    { ...WHOLE, State: "resting" },
    { ...WHOLE, Stage: 5 },
    { ...WHOLE, ColdRemainingMs: null },
    { ...WHOLE, born: 1.5 },
    { ...WHOLE, born: "yesterday" },
    lacking,
    { x: 1 },
    [1, 2],
    null,
    "{",
    "",
  ];
  for (const one of wrong) {
    assert.notEqual(faultOf(one), undefined, JSON.stringify(one));
  }
});

test("what is wrong is told by its field, never by its value", () => {
  const reason = faultOf({ ...WHOLE, Slots: "a caller's secret" }) ?? "";
  assert.match(reason, /^Slots/);
  assert.doesNotMatch(reason, /secret/);
});

test("no row, however broken, takes another along", () => {
  const field = fc.constantFrom(...Object.keys(WHOLE), "born", "other");
  const value = fc.oneof(fc.anything(), fc.string(), fc.integer());
  const changed = fc.tuple(field, value).map(([name, one]) => {
    const text = JSON.stringify({ ...WHOLE, [name]: one });
    return text;
  });
  const broken = fc.oneof(changed, fc.json(), fc.string());
  fc.assert(fc.property(fc.array(broken, { maxLength: 20 }), (texts) => {
    const rows = texts.map((text, at) => row(`b${at}`, text));
    const whole = row("whole", JSON.stringify(WHOLE));
    const { entries, faults } = replicasOf([...rows, whole]);
    assert.equal(entries.length + faults.length, rows.length + 1);
    assert.ok(entries.some((one) => one.id === "whole"));
    for (const one of entries) {
      assert.match(one.address, /^\S+:\d+$/);
      assert.ok(one.slots > 0);
    }
  }));
});
