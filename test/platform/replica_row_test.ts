/** Parsing of replica rows: invalid rows are faults and don't affect others. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { knownRed } from "../known_red.ts";
import {
  IGNORED_ODD_FIELDS,
  ODD_FIELDS,
  oddRows,
  rowText,
} from "./odd_rows.ts";
import { digestOf } from "../../src/gateway/replicas/listing_digest.ts";
import { isSameEntry } from "../../src/gateway/replicas/model.ts";
import {
  encodeEntry,
  ReplicaEntrySchema,
} from "../../src/gateway/replicas/schema.ts";
import {
  isReplicaRow,
  ReplicaRow,
  replicasOf,
} from "../../platform/replica_row.ts";

const VALID_ROW = {
  Service: "s",
  Address: "127.0.0.1:1",
  Zone: "h",
  Version: "v1",
  Slots: 12,
  State: "ready",
  Sequence: 3,
  ColdRemainingMs: 0,
  Stage: "decode",
  Models: [{ Name: "m" }],
};

function encodeRow(key: string, text: string) {
  const Value = Buffer.from(text).toString("base64");
  return { PrivateKey: key, Value, ver: 1 };
}

function faultOf(value: unknown): string | undefined {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  const { entries, faults } = replicasOf([encodeRow("a", text)]);
  assert.equal(entries.length + faults.length, 1);
  return faults[0]?.reason;
}

test("each start of a replica is a separate incarnation of its id", () => {
  const rows = [1, 2].map((born) =>
    encodeRow("a", JSON.stringify({ ...VALID_ROW, born }))
  );
  const { entries } = replicasOf(rows);
  assert.deepEqual(entries.map((entry) => entry.id), ["a", "a"]);
  assert.notEqual(entries[0]?.incarnation, entries[1]?.incarnation);
  assert.equal(
    replicasOf([encodeRow("a", JSON.stringify(VALID_ROW))]).entries.length,
    1,
  );
});

test("a row with a missing or invalid field is a fault", () => {
  assert.equal(faultOf(VALID_ROW), undefined);
  const missing = { ...VALID_ROW, Slots: undefined };
  const invalid: unknown[] = [
    { ...VALID_ROW, Service: "" },
    { ...VALID_ROW, Address: 17 },
    { ...VALID_ROW, Address: "somewhere" },
    { ...VALID_ROW, Slots: "12" },
    { ...VALID_ROW, Slots: 0 },
    { ...VALID_ROW, State: "resting" },
    { ...VALID_ROW, Stage: 5 },
    { ...VALID_ROW, ColdRemainingMs: null },
    { ...VALID_ROW, born: 1.5 },
    { ...VALID_ROW, born: "yesterday" },
    ...[undefined, 7, null, true, ["v1"], { v: 1 }, "v".repeat(201)]
      .map((Version) => ({ ...VALID_ROW, Version })),
    ...[undefined, "3", null, 1.5, -1]
      .map((Sequence) => ({ ...VALID_ROW, Sequence })),
    ...[undefined, null, "m", { Name: "m" }]
      .map((Models) => ({ ...VALID_ROW, Models })),
    { ...VALID_ROW, Stage: undefined },
    missing,
    { x: 1 },
    [1, 2],
    null,
    "{",
    "",
  ];
  for (const value of invalid) {
    assert.notEqual(faultOf(value), undefined, JSON.stringify(value));
  }
});

test("a row's version is that of the replica's software", () => {
  const row = { ...VALID_ROW, "Weight-Versions": ["w1"] };
  const { entries, faults } = replicasOf([encodeRow("a", JSON.stringify(row))]);
  assert.deepEqual(faults, []);
  assert.deepEqual(entries.map((entry) => entry.softwareVersion), ["v1"]);
});

// Guards against replicas of another service, or of no version, by such rows.
test("a row that lacks any field that replicas write names no replica", () => {
  for (const field of Object.keys(VALID_ROW)) {
    const row = encodeRow(
      "a",
      JSON.stringify({ ...VALID_ROW, [field]: undefined }),
    );
    const { entries, faults } = replicasOf([row]);
    assert.deepEqual(entries, [], field);
    assert.equal(faults.length, 1, field);
  }
});

test("a fault names the field but not its value", () => {
  const reason = faultOf({ ...VALID_ROW, Slots: "a caller's secret" }) ?? "";
  assert.match(reason, /^Slots/);
  assert.doesNotMatch(reason, /secret/);
});

test("a row under a key that no header can carry is a fault", () => {
  for (const key of ["", "a b", "a\nb", "é", "a\u0000"]) {
    const { entries, faults } = replicasOf([
      encodeRow(key, JSON.stringify(VALID_ROW)),
    ]);
    assert.deepEqual(entries, []);
    assert.deepEqual(faults, [{ key, reason: "key: unusable" }]);
  }
});

test("of 3,000 replicas the ones with a broken row are lost and no others", () => {
  const field = fc.constantFrom(...Object.keys(VALID_ROW), "born");
  const broken = fc.oneof(
    fc.tuple(field, fc.anything()).map(([name, value]) =>
      JSON.stringify({ ...VALID_ROW, [name]: value })
    ),
    fc.json(),
    fc.string(),
  );
  const count = 3000;
  const texts = fc.array(broken, { minLength: count / 10, maxLength: 300 });
  fc.assert(
    fc.property(texts, (values) => {
      const rows = Array.from({ length: count }, (_, at) => {
        const text = at % 10 === 0 ? values[at / 10] : undefined;
        return encodeRow(`r${at}`, text ?? JSON.stringify(VALID_ROW));
      });
      const { entries, faults } = replicasOf(rows);
      assert.equal(entries.length + faults.length, count);
      const listed = new Set(entries.map(({ id }) => id));
      const lost = rows.filter(({ PrivateKey }) => !listed.has(PrivateKey));
      assert.ok(lost.every(({ PrivateKey }) => PrivateKey.endsWith("0")));
    }),
    { numRuns: 10 },
  );
});

test("an invalid row doesn't affect valid ones", () => {
  const field = fc.constantFrom(...Object.keys(VALID_ROW), "born", "other");
  const value = fc.oneof(fc.anything(), fc.string(), fc.integer());
  const changed = fc.tuple(field, value).map(([name, fieldValue]) => {
    const text = JSON.stringify({ ...VALID_ROW, [name]: fieldValue });
    return text;
  });
  const broken = fc.oneof(changed, fc.json(), fc.string());
  fc.assert(fc.property(fc.array(broken, { maxLength: 20 }), (texts) => {
    const rows = texts.map((text, at) => encodeRow(`b${at}`, text));
    const valid = encodeRow("valid", JSON.stringify(VALID_ROW));
    const { entries, faults } = replicasOf([...rows, valid]);
    assert.equal(entries.length + faults.length, rows.length + 1);
    assert.ok(entries.some((entry) => entry.id === "valid"));
    for (const entry of entries) {
      assert.match(entry.address, /^\S+:\d+$/);
      assert.ok(entry.slots > 0);
    }
  }));
});

test("the quick check accepts a row only if the schema returns the same fields", () => {
  const values = fc.oneof(
    fc.constantFrom<unknown>(
      undefined,
      null,
      "",
      "x",
      "ready",
      "draining",
      "prefill",
      "10.0.0.1:80",
      "[::1]:80",
      "x".repeat(201),
      0,
      -1,
      1.5,
      2 ** 60,
      true,
      [],
      {},
    ),
    fc.integer(),
    fc.string(),
  );
  const fields = Object.keys({ ...VALID_ROW, born: 1, Other: 1 });
  const changes = fc.dictionary(fc.constantFrom(...fields), values, {
    maxKeys: 2,
  });
  let accepted = 0;
  fc.assert(
    fc.property(changes, (change) => {
      // As rows are read: without fields that are undefined.
      const row: unknown = JSON.parse(
        JSON.stringify({ ...VALID_ROW, born: 1, ...change }),
      );
      if (!isReplicaRow(row)) return;
      accepted += 1;
      const read = ReplicaRow.safeParse(row);
      assert.ok(read.success);
      for (const [field, value] of Object.entries(read.data)) {
        assert.equal(value, Reflect.get(row, field));
      }
    }),
    { numRuns: 2000 },
  );
  assert.ok(accepted > 100, `${accepted} rows`);
  for (const value of [null, 1, "x", []]) assert.ok(!isReplicaRow(value));
  assert.ok(isReplicaRow(VALID_ROW));
});

const JSON_FIELDS = Object.fromEntries(
  Object.entries(VALID_ROW).map(([name, value]) => [
    name,
    JSON.stringify(value),
  ]),
);

/** Rows with up to two fields that may be odd, as JSON text. */
const oddTexts = fc.dictionary(
  fc.constantFrom(...Object.keys(JSON_FIELDS), "born", "Other"),
  fc.oneof(
    fc.constantFrom(...ODD_FIELDS.map(([, value]) => value)),
    fc.constantFrom("1e400", "-1e400", "1e12", "1e13", "-0", "0", "1", "1e-7"),
    fc.double().map((value) => JSON.stringify(value)),
    fc.json({ maxDepth: 2 }),
  ),
  { maxKeys: 2 },
).map((change) => rowText({ ...JSON_FIELDS, born: "1", ...change }));

// Guards against rows that hosts accept and can't tell each other.
const SAME = "the quick check and the schema accept the same rows";
test(SAME, knownRed(SAME), () => {
  let accepted = 0;
  fc.assert(
    fc.property(oddTexts, (text) => {
      const row: unknown = JSON.parse(text);
      const read = ReplicaRow.safeParse(row);
      if (isReplicaRow(row)) {
        accepted += 1;
        assert.ok(read.success, text.slice(0, 500));
      } else {
        assert.ok(!read.success, text.slice(0, 500));
      }
    }),
    { numRuns: 3000 },
  );
  assert.ok(accepted > 100, `${accepted} rows`);
});

const TOLD = "hosts can tell each other each row that they accept";
test(TOLD, knownRed(TOLD), () => {
  fc.assert(
    fc.property(oddTexts, (text) => {
      const { entries } = replicasOf([encodeRow("a", text)]);
      for (const entry of entries) {
        const message: unknown = JSON.parse(JSON.stringify(encodeEntry(entry)));
        const told = ReplicaEntrySchema.parse(message);
        assert.ok(isSameEntry(told, entry));
        assert.equal(digestOf(told), digestOf(entry));
      }
    }),
    { numRuns: 3000 },
  );
});

const FAULTS = "rows with an odd field or value are faults";
test(FAULTS, knownRed(FAULTS), () => {
  for (const { name, value } of oddRows(JSON_FIELDS)) {
    const { entries, faults } = replicasOf([
      { PrivateKey: "a", Value: Buffer.from(value).toString("base64"), ver: 1 },
    ]);
    assert.deepEqual(entries, [], name);
    assert.equal(faults.length, 1);
  }
});

test("odd values of fields that are not used are no faults", () => {
  for (const [field, value] of IGNORED_ODD_FIELDS) {
    const text = rowText({ ...JSON_FIELDS, [field]: value });
    assert.deepEqual(replicasOf([encodeRow("a", text)]).faults, [], field);
  }
});
