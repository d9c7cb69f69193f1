/** What the adapter lets through to replicas, and what it reads. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { dialect } from "../../platform/dialect.ts";
import { SYSTEM_HEADERS } from "../../platform/names.ts";
import { CallMode } from "../../src/gateway/mod.ts";

/** Names of headers as a replica would get them, in lower case. */
function namesSent(raw: readonly string[]): string[] {
  const sent = dialect.callHeaders(raw, {
    mode: CallMode.whole,
    incarnation: "i-1",
  });
  return sent.filter((_, at) => at % 2 === 0).map((one) => one.toLowerCase());
}

test("headers that the system sets never come from a caller", () => {
  for (const name of SYSTEM_HEADERS) {
    const own = name === "expected-instance" ? 1 : 0;
    for (const written of [name, name.toUpperCase()]) {
      const raw = ["Model", "m", written, "forged", written, "again"];
      const sent = namesSent(raw);
      assert.equal(sent.filter((one) => one === name).length, own, name);
      assert.ok(sent.includes("model"));
    }
  }
});

test("a request's rank at an engine is the route's, not the caller's", () => {
  const rankOf = (priority: number) => {
    const head = { mode: CallMode.whole, incarnation: "i-1", priority };
    const sent = dialect.callHeaders(["request-priority", "0"], head);
    return sent[sent.indexOf("Request-Priority") + 1];
  };
  assert.deepEqual([rankOf(0), rankOf(3), rankOf(40)], ["0", "3", "9"]);
  const plain = dialect.callHeaders(["request-priority", "0"], {
    mode: CallMode.whole,
    incarnation: "i-1",
  });
  assert.equal(plain.length, 2);
});

test("what a request's head lacks or garbles is read as absent", () => {
  assert.deepEqual(dialect.readRequest({}), {
    promptTokens: 0,
    outputLimit: 0,
  });
  const garbled = { "deadline-remaining-ms": "soon", "token-counts": "x,y" };
  assert.deepEqual(dialect.readRequest(garbled), {
    promptTokens: 0,
    outputLimit: 0,
  });
});

test("no answer of a replica's calls makes the adapter throw", () => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), (body) => {
      dialect.readExport(body);
      dialect.readReservation(body);
      dialect.readReport(body);
    }),
  );
});
