/**
 * Which hosts keep a planner's estimates. Guards against keepers that are all
 * lost together with one hall, and against summaries that grow with the fleet.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { KeptSummaries } from "../../../src/gateway/planning/kept_summaries.ts";
import { SummaryKeepers } from "../../../src/gateway/planning/summary_keepers.ts";

const SERVICE = "s";

/** Keepers after one request of each host, in this order. */
function keepersOf(hosts: readonly string[], asked = new SummaryKeepers()) {
  hosts.forEach((host, index) => {
    const [hall = ""] = host.split("-");
    asked.noteRequest(SERVICE, { host, hall }, index);
  });
  return asked;
}

function namesOf(keepers: SummaryKeepers, now: number): string[] {
  return [...keepers.due(SERVICE, now)].sort();
}

test("three of many hosts keep a summary, one in each hall", () => {
  const hosts = Array.from({ length: 330 }, (_, index) => {
    const hall = index < 200 ? "a" : index < 300 ? "b" : "c";
    return `${hall}-${index}`;
  });
  const halls = namesOf(keepersOf(hosts), 2500).map((host) => host[0]);
  assert.deepEqual(halls, ["a", "b", "c"]);
});

test("the keepers stay the same while they send requests", () => {
  const hosts = ["a-1", "b-1", "c-1", "a-2", "b-2", "c-2", "d-1"];
  const keepers = keepersOf(hosts);
  assert.deepEqual(namesOf(keepers, 2500), ["a-1", "b-1", "c-1"]);
  keepersOf(["c-3", "a-3"], keepers);
  assert.deepEqual(namesOf(keepers, 2500), ["a-1", "b-1", "c-1"]);
});

test("a host that sends no more requests is replaced", () => {
  const keepers = keepersOf(["a-1", "b-1", "c-1"]);
  const at = (host: string, now: number) => {
    const [hall = ""] = host.split("-");
    keepers.noteRequest(SERVICE, { host, hall }, now);
  };
  at("a-1", 9000);
  at("b-1", 9000);
  at("b-2", 11_000);
  assert.deepEqual(namesOf(keepers, 11_000), ["a-1", "b-1", "b-2"]);
});

test("no summary is due in the first seconds of a planner", () => {
  const keepers = keepersOf(["a-1"]);
  assert.deepEqual(namesOf(keepers, 1999), []);
  assert.deepEqual(namesOf(keepers, 2000), ["a-1"]);
  assert.deepEqual(keepers.due("other", 2000), []);
});

for (const bytes of [300, 3000, 60_000]) {
  test(`summaries of ${bytes} bytes take no more than 1 KB/s`, () => {
    const keepers = keepersOf(["a-1", "b-1", "c-1"]);
    let sent = 0;
    for (let now = 0; now <= 600_000; now += 100) {
      for (const host of ["a-1", "b-1", "c-1"]) {
        keepers.noteRequest(SERVICE, { host, hall: host }, now);
      }
      const due = keepers.due(SERVICE, now).length;
      if (due === 0) continue;
      sent += bytes * due;
      keepers.noteSent(SERVICE, bytes * due, now);
    }
    assert.ok(sent > 0 && sent <= 600_000 + 3 * bytes, `${sent} bytes`);
  });
}

test("a kept summary ages, and a later one replaces it", () => {
  const kept = new KeptSummaries();
  const message = { type: "rates" as const, service: SERVICE, ageMs: 100 };
  kept.keep({ ...message, summary: 1 }, 1000);
  assert.deepEqual(kept.get(SERVICE, 3000), {
    ...message,
    summary: 1,
    ageMs: 2100,
  });
  kept.keep({ ...message, summary: 2 }, 4000);
  assert.equal(kept.get(SERVICE, 4000)?.summary, 2);
  assert.equal(kept.get("other", 4000), undefined);
  assert.equal(kept.get(SERVICE, 34_000), undefined);
});
