/** The headers that the adapter sends, and its parsing of what it receives. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { dialect } from "../../platform/dialect.ts";
import { SYSTEM_HEADERS } from "../../platform/names.ts";
import { readConfigRow } from "../../platform/config_row.ts";
import { CallMode, QuotaUnit } from "../../src/gateway/mod.ts";
import { sha256 } from "../../src/util/sha256.ts";

/** The header names sent to a replica, in lower case. */
function namesSent(raw: readonly string[]): string[] {
  const sent = dialect.callHeaders(raw, {
    mode: CallMode.whole,
    replica: "i-1",
  });
  return sent.filter((_, at) => at % 2 === 0).map((name) => name.toLowerCase());
}

test("headers that only the gateway sets are removed from a caller's request", () => {
  for (const name of SYSTEM_HEADERS) {
    const expected = name === "expected-instance" ? 1 : 0;
    for (const written of [name, name.toUpperCase()]) {
      const raw = ["Model", "m", written, "forged", written, "again"];
      const sent = namesSent(raw);
      assert.equal(
        sent.filter((header) => header === name).length,
        expected,
        name,
      );
      assert.ok(sent.includes("model"));
    }
  }
});

test("a request's priority at an engine is its route's, not the caller's", () => {
  const sentPriority = (priority: number) => {
    const head = { mode: CallMode.whole, replica: "i-1", priority };
    const sent = dialect.callHeaders(["request-priority", "0"], head);
    return sent[sent.indexOf("Request-Priority") + 1];
  };
  assert.deepEqual([sentPriority(0), sentPriority(3), sentPriority(40)], [
    "0",
    "3",
    "9",
  ]);
  const plain = dialect.callHeaders(["request-priority", "0"], {
    mode: CallMode.whole,
    replica: "i-1",
  });
  assert.equal(plain.length, 2);
});

test("missing and invalid request headers are parsed as absent", () => {
  assert.deepEqual(dialect.readRequest({}), {
    promptTokens: 0,
    outputLimit: 0,
  });
  const invalid = { "deadline-remaining-ms": "soon", "token-counts": "x,y" };
  assert.deepEqual(dialect.readRequest(invalid), {
    promptTokens: 0,
    outputLimit: 0,
  });
});

test("all parts of a prompt but the last may be shared with other requests", () => {
  const partsOf = (prompt: string) =>
    dialect.readRequest({ "prompt-prefix": prompt }).promptParts;
  assert.deepEqual(partsOf("5c1e:800,91bd:410, e440:250"), ["5c1e", "91bd"]);
  for (const alone of ["", "5c1e:800", "5c1e"]) {
    assert.deepEqual(partsOf(alone), []);
  }
  assert.deepEqual(partsOf(":5,,5c1e,x"), ["5c1e"]);
  assert.equal(dialect.readRequest({}).promptParts, undefined);
});

test("a resumed stream is named by the attempt of its first event", () => {
  const headers = { "last-event-id": "7", resumes: "a-1" };
  const { lastEventId, resumes } = dialect.readRequest(headers);
  assert.deepEqual([lastEventId, resumes], ["7", "a-1"]);
  assert.equal(
    dialect.readRequest({ "last-event-id": "7" }).resumes,
    undefined,
  );
});

test("an empty last event id resumes nothing", () => {
  const empty = dialect.readRequest({ "last-event-id": "", resumes: "" });
  assert.deepEqual(empty, { promptTokens: 0, outputLimit: 0 });
});

test("a replica is told which stream is resumed", () => {
  const raw = ["Resumes", "a-1", "Last-Event-Id", "7"];
  const head = { mode: CallMode.whole, replica: "i-1" };
  const sent = dialect.callHeaders(raw, { ...head, lastEventId: "9" });
  const valuesOf = (name: string) =>
    sent.filter((_, at) => sent[at - 1]?.toLowerCase() === name);
  assert.deepEqual(valuesOf("resumes"), ["a-1"]);
  assert.deepEqual(valuesOf("last-event-id"), ["9"]);
  assert.ok(dialect.endToEndHeaders.has("resumes"));
});

test("a replica's limit that is no decimal number is unreadable", () => {
  const limitOf = (text?: string) =>
    dialect.readAnswer(200, text === undefined ? {} : { "server-limit": text })
      .limit;
  assert.deepEqual(limitOf(), { type: "none" });
  for (const perSecond of [0, 0.3, 1.4, 250]) {
    assert.deepEqual(limitOf(String(perSecond)), { type: "limit", perSecond });
  }
  const huge = "9".repeat(400);
  const invalid = [
    "1,4",
    "1.4, 2",
    "abc",
    "",
    "-1",
    "NaN",
    "1e999",
    "1.",
    huge,
  ];
  for (const text of invalid) {
    assert.deepEqual(limitOf(text), { type: "unreadable", text });
  }
});

test("a response marks its replica as draining only by the value 1", () => {
  const isDraining = (status: number, text?: string) =>
    dialect.readAnswer(
      status,
      text === undefined ? {} : {
        "server-leaving": text,
      },
    ).leaving;
  assert.equal(isDraining(200), false);
  for (const status of [200, 404, 500, 503]) {
    assert.equal(isDraining(status, "1"), true);
  }
  // Node joins repeated headers.
  assert.equal(isDraining(200, "1, 1"), true);
  for (const text of ["", "0", "2", "no", "11"]) {
    assert.equal(isDraining(200, text), false, text);
  }
});

test("Retry-After of a 503 response is a backoff", () => {
  const backoffOf = (status: number, text?: string) =>
    dialect.readAnswer(
      status,
      text === undefined ? {} : {
        "retry-after": text,
      },
    ).backoff;
  assert.deepEqual(backoffOf(503), { type: "none" });
  for (const seconds of [0, 0.3, 3, 86_400]) {
    const forMs = seconds * 1000;
    assert.deepEqual(backoffOf(503, String(seconds)), {
      type: "backoff",
      forMs,
    });
  }
  const date = "Thu, 03 Dec 2026 07:28:00 GMT";
  const huge = "9".repeat(400);
  for (const text of ["-3", "abc", "", "NaN", "1e999", "1,2", date, huge]) {
    assert.deepEqual(backoffOf(503, text), { type: "unreadable", text });
  }
  // With any other status, Retry-After is meant for the caller.
  for (const status of [200, 404, 429, 500]) {
    assert.deepEqual(backoffOf(status, "3"), { type: "none" });
  }
});

test("a response with a missing or invalid field is ignored", () => {
  const valid = { Stage: "decode", Utilization: false, Sequence: 2 };
  const report = { stage: "decode", orderCount: 2, isChanging: false };
  assert.deepEqual(dialect.readReport(JSON.stringify(valid)), report);
  const withMemory = JSON.stringify({ ...valid, KvCacheUsed: 5000 });
  assert.deepEqual(dialect.readReport(withMemory), {
    ...report,
    usedTokens: 5000,
  });
  const withStart = JSON.stringify({ ...valid, born: 1700000000000 });
  assert.deepEqual(dialect.readReport(withStart), {
    ...report,
    born: 1700000000000,
  });
  const invalid = [
    { ...valid, born: "1" },
    { ...valid, born: 1.5 },
    { ...valid, Stage: "both" },
    { ...valid, Sequence: "2" },
    { ...valid, Sequence: -1 },
    { ...valid, Utilization: 0 },
    { Stage: "decode" },
    [valid],
  ];
  for (const report of invalid) {
    assert.equal(dialect.readReport(JSON.stringify(report)), undefined);
  }
  for (const value of [{}, { PrefillHandle: 7, Retention: "" }, "x", null]) {
    const body = JSON.stringify(value);
    assert.equal(dialect.readExport(body), undefined);
    assert.equal(dialect.readReservation(body), undefined);
  }
});

test("a bearer key is parsed to its digest; other schemes are ignored", () => {
  const digest = dialect.readRequest({ authorization: "Bearer k1" }).keyDigest;
  assert.equal(digest, sha256("k1"));
  for (const text of ["bearer k1", "BEARER  k1 "]) {
    assert.equal(
      dialect.readRequest({ authorization: text }).keyDigest,
      digest,
    );
  }
  for (const text of ["k1", "Basic k1", "Bearer", "Bearer k1 k2"]) {
    const facts = dialect.readRequest({ authorization: text });
    assert.equal(facts.keyDigest, undefined);
  }
});

test("a customer header from the caller is replaced by the gateway's", () => {
  const raw = ["TENANT", "theirs", "Tenant", "again", "Other", "kept"];
  const head = { mode: CallMode.whole, replica: "i-1" };
  const sent = dialect.callHeaders(raw, { ...head, customer: "alpha" });
  const customers = sent.filter((_, at) =>
    /^tenant$/i.test(sent[at - 1] ?? "")
  );
  assert.deepEqual(customers, ["alpha"]);
  assert.ok(sent.includes("kept"));
  assert.ok(!dialect.callHeaders(raw, head).includes("theirs"));
});

test("invalid token counts are parsed as 0", () => {
  for (const text of ["-5,-3", "x,y", "NaN", "Infinity,1e999"]) {
    const facts = dialect.readRequest({ "token-counts": text });
    assert.deepEqual([facts.promptTokens, facts.outputLimit], [0, 0]);
  }
});

test("customers are parsed with their quotas, and with digests in place of keys", () => {
  const customers = [
    {
      Name: "alpha",
      ApiKeys: ["k1", "k2"],
      Priority: 2,
      Unit: "token_metering",
      UncachedTokens: 200,
      RatePerS: 1000,
      Burst: 3000,
    },
    { Name: "beta", ApiKeys: [], RatePerS: 0 },
  ];
  const value = JSON.stringify({ Version: 1, Tenants: customers });
  const Value = Buffer.from(value).toString("base64");
  const read = readConfigRow({ PrivateKey: "config", Value, ver: 1 });
  assert.ok(read.type === "config");
  assert.deepEqual(read.config.customers, [
    {
      name: "alpha",
      keyDigests: [sha256("k1"), sha256("k2")],
      priority: 2,
      quota: {
        unit: QuotaUnit.tokens,
        perSecond: 1000,
        burst: 3000,
        plainUnits: 200,
      },
    },
    { name: "beta", keyDigests: [] },
  ]);
});
