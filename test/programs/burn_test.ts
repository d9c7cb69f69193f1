/** Tests of the burn report merged over several hosts. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { mergeBurn } from "../../src/programs/burn/merge.ts";
import { formatBurnTable } from "../../src/programs/burn/text.ts";
import { BurnTable } from "../../src/shell/measures/burn_table.ts";

function hostWith(good: number, bad: number, firstTokenMs: number) {
  const table = new BurnTable();
  const observation = {
    type: "observe" as const,
    customer: "armor",
    service: "recap-llm",
    firstTokenMs,
    betweenTokensMs: 20,
  };
  for (let n = 0; n < good; n += 1) {
    table.note({ ...observation, good: true }, 1000);
  }
  for (let n = 0; n < bad; n += 1) {
    table.note({ ...observation, good: false }, 1000);
  }
  return table.windows(2000);
}

test("merges hosts and computes the burn rate for the objective", () => {
  const windows = [...hostWith(90, 0, 100), ...hostWith(0, 10, 900)];
  const [row] = mergeBurn(windows, 0.95);
  assert.equal(row?.requests, 100);
  assert.equal(row?.good, 90);
  assert.ok(Math.abs((row?.burn ?? 0) - 2) < 1e-9);
  const [p50, p95] = row?.firstToken ?? [];
  assert.ok(p50 !== undefined && Math.abs(p50 - 100) < 2);
  assert.ok(p95 !== undefined && Math.abs(p95 - 900) < 10);
});

test("excludes observations older than the window", () => {
  const table = new BurnTable();
  const observation = { type: "observe", customer: "a", service: "s" } as const;
  table.note({ ...observation, good: true }, 0);
  table.note({ ...observation, good: true }, 400_000);
  const [fiveMinutes, hour] = table.windows(410_000);
  assert.equal(fiveMinutes?.requests, 1);
  assert.equal(hour?.requests, 2);
});

test("reports that there are no requests", () => {
  assert.equal(formatBurnTable([]), "no requests so far");
});
