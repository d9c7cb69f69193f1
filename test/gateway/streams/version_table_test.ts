/** Records of streams are bounded in time and number. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { StreamRecord } from "../../../src/gateway/streams/model.ts";
import { VersionTable } from "../../../src/gateway/streams/version_table.ts";

function record(id: string, change: Partial<StreamRecord> = {}): StreamRecord {
  return {
    stream: { service: "s", id },
    softwareVersion: "v1",
    origin: "h@1",
    order: 1,
    expiresAt: 100,
    ...change,
  };
}

test("a record expires after its time", () => {
  const table = new VersionTable();
  table.set(record("a"), 0);
  assert.equal(table.get({ service: "s", id: "a" }, 99)?.softwareVersion, "v1");
  assert.equal(table.get({ service: "s", id: "a" }, 100), undefined);
});

test("expired records are evicted", () => {
  const table = new VersionTable();
  for (let at = 0; at < 50; at++) {
    table.set(record(`a${at}`, { expiresAt: at + 10 }), at);
  }
  assert.equal(table.size, 10);
});

test("the oldest records are evicted beyond the cap; a renewed one is not old", () => {
  const table = new VersionTable(3);
  for (const id of ["a", "b", "c"]) table.set(record(id), 0);
  table.set(record("a", { order: 2 }), 0);
  table.set(record("d"), 0);
  assert.equal(table.size, 3);
  const isKnown = (id: string) => table.get({ service: "s", id }, 0);
  assert.ok(isKnown("a") && isKnown("c") && isKnown("d"));
  assert.equal(isKnown("b"), undefined);
});

test("a later record replaces an earlier one, also when it overtakes it", () => {
  const table = new VersionTable();
  const later = record("a", { softwareVersion: "v2", order: 2 });
  const versionOf = () => table.get({ service: "s", id: "a" }, 0);
  table.set(record("a"), 0);
  table.set(later, 0);
  assert.equal(versionOf()?.softwareVersion, "v2");
  table.set(record("a"), 0);
  assert.equal(versionOf()?.softwareVersion, "v2");
  table.set(record("a", { origin: "other@1" }), 0);
  assert.equal(versionOf()?.softwareVersion, "v1");
});

test("a stream of another service is another stream", () => {
  const table = new VersionTable();
  table.set(record("a"), 0);
  assert.equal(table.get({ service: "t", id: "a" }, 0), undefined);
});

test("only the live records of one service and origin are listed", () => {
  const table = new VersionTable();
  table.set(record("a"), 0);
  table.set(record("b", { origin: "other@1" }), 0);
  table.set(record("c", { stream: { service: "t", id: "c" } }), 0);
  table.set(record("d", { expiresAt: 5 }), 0);
  const found = table.recordsOf({ service: "s", origin: "h@1" }, 10);
  assert.deepEqual(found.map(({ stream }) => stream.id), ["a"]);
});
