/** Tests the summary of hosts' logs over a time window. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  formatIncident,
  IncidentLog,
} from "../../src/programs/ctl/incident_summary.ts";

const BASE = { name: "otterhill-gateway", host: "h1" };

function refusal(time: string, fields: object = {}): string {
  const ended = { event: "refused", error: "no_replica", route: "recap" };
  return JSON.stringify({ ...BASE, ...ended, time, request: "r1", ...fields });
}

function removal(time: string, replica: string, fields: object = {}): string {
  const event = "replicaRemoved";
  return JSON.stringify({ ...BASE, event, time, replica, ...fields });
}

function summarize(lines: readonly string[], window = {}) {
  const incident = new IncidentLog(window);
  for (const line of lines) incident.add(line);
  return incident.summary();
}

test("failures are grouped by outcome, error and route, with their causes", () => {
  const { failures } = summarize([
    removal("2026-01-01T10:00:01Z", "i-1"),
    removal("2026-01-01T10:00:02Z", "i-2"),
    removal("2026-01-01T10:00:02Z", "i-2", { host: "h2" }),
    refusal("2026-01-01T10:00:04Z", { host: "h2" }),
    refusal("2026-01-01T10:00:03Z"),
    refusal("2026-01-01T10:00:03Z", { error: "over_quota" }),
    refusal("2026-01-01T10:00:05Z", { route: "tags" }),
  ]);
  assert.equal(failures.length, 3);
  assert.deepEqual(failures[0], {
    event: "refused",
    error: "no_replica",
    route: "recap",
    requests: 2,
    hosts: 2,
    firstAt: "2026-01-01T10:00:03Z",
    lastAt: "2026-01-01T10:00:04Z",
    example: "r1",
    causes: [{
      event: "replicaRemoved",
      count: 3,
      hosts: 2,
      subjects: ["i-2", "i-1"],
    }],
  });
  const overQuota = failures.find(({ error }) => error === "over_quota");
  assert.deepEqual(overQuota?.causes, []);
});

// A response that was cut off after its end had no failure.
test("requests that a stopping host left unfinished are failures", () => {
  const time = "2026-01-01T10:00:08Z";
  const left = { ...BASE, event: "unfinished", time, route: "recap" };
  const { failures } = summarize([
    JSON.stringify({
      ...BASE,
      event: "stopping",
      time: "2026-01-01T10:00:00Z",
    }),
    JSON.stringify({ ...left, request: "r1", state: "unsent" }),
    JSON.stringify({ ...left, request: "r2", state: "running" }),
  ]);
  assert.deepEqual(
    failures.map(({ event, error, example }) => [event, error, example]),
    [["unfinished", "unsent", "r1"], ["unfinished", "running", "r2"]],
  );
  const causes = failures.map((group) =>
    group.causes.map(({ event }) => event)
  );
  assert.deepEqual(causes, [["stopping"], ["stopping"]]);
});

test("lines outside the window and other text are ignored", () => {
  const { failures, changes } = summarize([
    "not JSON",
    "{cut",
    refusal("2026-01-01T10:00:00Z"),
    refusal("2026-01-01T10:00:05Z"),
    removal("2026-01-01T10:00:09Z", "i-1"),
  ], { from: "2026-01-01T10:00:01", to: "2026-01-01T10:00:06" });
  assert.equal(failures[0]?.requests, 1);
  assert.deepEqual(changes, []);
});

test("lines that were left out of a log are counted", () => {
  const { failures } = summarize([
    refusal("2026-01-01T10:00:00Z"),
    refusal("2026-01-01T10:00:01Z", { left_out: 120 }),
  ]);
  assert.equal(failures[0]?.requests, 122);
});

test("the text names the cause beside the failure", () => {
  const text = formatIncident(summarize([
    removal("2026-01-01T10:00:01Z", "i-1"),
    refusal("2026-01-01T10:00:03Z"),
  ]));
  const [, first] = text.split("\n");
  assert.match(
    first ?? "",
    /^1 +refused +no_replica +recap .*replicaRemoved 1 \(i-1\)$/,
  );
  assert.equal(
    formatIncident(summarize([])),
    "No request failed, and nothing changed",
  );
});
