/** Tests the parsing of callers' requests. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { measurePrompt } from "../../src/shell/mod.ts";
import {
  CompletionPath,
  parseCompletion,
} from "../../src/shell/callers/parse.ts";

function parse(body: unknown, headers: Record<string, string> = {}) {
  const text = typeof body === "string" ? body : JSON.stringify(body);
  const options = { id: "h/1/1", headers, body: text };
  return parseCompletion(CompletionPath.completions, options);
}

test("parses a completion, its size and its headers", () => {
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

test("names the missing or unsupported field in the error", () => {
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

test("gives prompts with a common prefix the same leading hashes", () => {
  const prefix = "commentary ".repeat(400);
  const first = measurePrompt(`${prefix}one ${"a".repeat(2000)}`).prefixes;
  const second = measurePrompt(`${prefix}two ${"b".repeat(2000)}`).prefixes;
  assert.deepEqual(first.slice(0, 4), second.slice(0, 4));
  assert.notEqual(first[4], second[4]);
});
