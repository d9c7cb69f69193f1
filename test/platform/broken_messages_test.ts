/** What the adapter reads of broken messages from replicas. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { dialect } from "../../platform/dialect.ts";

const BROKEN_VALUE = fc.oneof(
  fc.anything(),
  fc.constantFrom(1e300, -1, 0.5, "", "1", " ", "a\nb", "é", []),
);

/** Bodies with each field valid, broken or absent, and bodies of any kind. */
function bodies(valid: Readonly<Record<string, unknown>>) {
  const fields = Object.entries(valid).map(([name, value]) =>
    [name, fc.oneof(fc.constant(value), BROKEN_VALUE)] as const
  );
  const broken = fc.record(Object.fromEntries(fields), { requiredKeys: [] })
    .map((body) => JSON.stringify(body));
  return fc.oneof(broken, fc.json(), fc.string());
}

/** Whether a header and a path can carry an id. */
const isUsableId = (id: string) => /^[!-~]+$/.test(id);
const isCount = (value: number) => Number.isFinite(value) && value >= 0;

test("what is read of a broken body is complete and in range, or nothing is", () => {
  const report = {
    born: 5,
    Stage: "decode",
    Sequence: 2,
    Utilization: false,
    KvCacheUsed: 5,
  };
  fc.assert(fc.property(bodies(report), (body) => {
    const read = dialect.readReport(body);
    if (!read) return;
    assert.ok(["prefill", "decode"].includes(read.stage));
    assert.ok(Number.isInteger(read.orderCount) && read.orderCount >= 0);
    assert.equal(typeof read.isChanging, "boolean");
    assert.ok(isCount(read.usedTokens ?? 0));
    assert.ok(Number.isInteger(read.born ?? 0));
  }));
  const ids = bodies({ PrefillHandle: "e", Retention: "m" });
  fc.assert(fc.property(ids, (body) => {
    assert.ok(isUsableId(dialect.readExport(body) ?? "none"));
    assert.ok(isUsableId(dialect.readReservation(body) ?? "none"));
  }));
});

test("what is read of broken headers is in range", () => {
  const names = ["retry-after", "server-limit", "server-leaving"];
  const value = fc.oneof(
    fc.string(),
    fc.constantFrom("1", "0.5", "-1", "1e9", "9".repeat(400), "NaN", "1,1"),
    fc.array(fc.string()),
  );
  const headers = fc.dictionary(fc.constantFrom(...names), value);
  const statuses = fc.constantFrom(200, 412, 421, 503);
  fc.assert(fc.property(statuses, headers, (status, read) => {
    const { backoff, limit } = dialect.readAnswer(
      status,
      read as Parameters<typeof dialect.readAnswer>[1],
    );
    assert.ok(backoff.type !== "backoff" || isCount(backoff.forMs));
    assert.ok(limit.type !== "limit" || isCount(limit.perSecond));
  }));
});

test("an id that no header can carry is not used", () => {
  for (
    const id of ["a b", "a\nb", "a\r\nTenant: b", "é", "\u0000", "", "x\u007f"]
  ) {
    assert.equal(
      dialect.readExport(JSON.stringify({ PrefillHandle: id })),
      undefined,
    );
    assert.equal(
      dialect.readReservation(JSON.stringify({ Retention: id })),
      undefined,
    );
  }
});
