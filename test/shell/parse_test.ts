/** Callers' requests are read, or refused with the reason. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { measurePrompt } from "../../src/shell/mod.ts";
import {
  CompletionPath,
  parseCompletion,
} from "../../src/shell/callers/parse.ts";

function parse(body: unknown, headers: Record<string, string> = {}) {
  const text = typeof body === "string" ? body : JSON.stringify(body);
  const source = { id: "h/1/1", headers, body: text };
  return parseCompletion(CompletionPath.completions, source);
}

test("a completion is measured and its headers are read", () => {
  const parsed = parse(
    { model: "m", prompt: "x".repeat(4096), max_tokens: 9, stream: true },
    {
      "idempotency-key": "k",
      "x-otterhill-once": "true",
      "x-otterhill-patience": "5s",
    },
  ).unwrap();
  assert.equal(parsed.promptTokens, 1024);
  assert.equal(parsed.prefixes.length, 4);
  assert.equal(parsed.maxTokens, 9);
  assert.equal(parsed.callerKey, "k");
  assert.equal(parsed.once, true);
  assert.equal(parsed.patienceMs, 5000);
});

test("what is missing or not served is named", () => {
  assert.match(String(parse({ prompt: "a" }).val), /^model: /);
  assert.match(
    String(parse({ model: "m", prompt: "a", n: 2 }).val),
    /n: only n = 1 is served/,
  );
  assert.match(String(parse("{").val), /JSON/);
  const body = { model: "m", prompt: "a" };
  const patience = parse(body, { "x-otterhill-patience": "soon" });
  assert.match(String(patience.val), /X-Otterhill-Patience/);
});

test("prompts with the same beginning share their first hashes", () => {
  const head = "commentary ".repeat(400);
  const one = measurePrompt(`${head}one ${"a".repeat(2000)}`).prefixes;
  const other = measurePrompt(`${head}two ${"b".repeat(2000)}`).prefixes;
  assert.deepEqual(one.slice(0, 4), other.slice(0, 4));
  assert.notEqual(one[4], other[4]);
});
