/** Summaries that hosts keep for the next planner. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import {
  HostMessageSchema,
  PlannerLineSchema,
} from "../../../src/gateway/planning/messages.ts";
import { readJson } from "../../../src/util/read_json.ts";
import { deepText } from "../../platform/odd_rows.ts";

function ratesText(summary: string): string {
  return `{"type":"rates","service":"s","ageMs":1,"summary":${summary}}`;
}

// Guards against a host that ends as it passes on what it can't encode.
const DEEP = "a deeply nested summary is not kept";
test(DEEP, knownRed(DEEP), () => {
  for (const schema of [PlannerLineSchema, HostMessageSchema]) {
    for (const text of [deepText(), `{"later":${deepText()}}`]) {
      const message = readJson(schema, ratesText(text));
      assert.equal(message, undefined);
    }
    const kept = readJson(schema, ratesText('{"later":[[{"a":[1]}]]}'));
    assert.ok(kept);
  }
});
