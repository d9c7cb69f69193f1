/** When a service counts as one of several software versions. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { VersionHistory } from "../../../src/gateway/streams/version_history.ts";
import { listing, SERVICE } from "./stream_fleet.ts";

const MINUTE_MS = 60_000;

function observed(
  ...steps: readonly (readonly [at: number, ...(string | undefined)[]])[]
): VersionHistory {
  const history = new VersionHistory();
  for (const [at, ...versions] of steps) {
    history.observe(listing(...versions), at);
  }
  return history;
}

test("a service without replicas has no version", () => {
  const history = new VersionHistory();
  assert.deepEqual(history.stateOf(SERVICE, 0), { type: "none" });
});

test("one version is certain once it was the only one for the window", () => {
  const history = observed([0, "v1", "v1"], [MINUTE_MS, "v1"]);
  assert.deepEqual(history.stateOf(SERVICE, MINUTE_MS - 1), {
    type: "single",
    softwareVersion: "v1",
    isCovered: false,
  });
  assert.deepEqual(history.stateOf(SERVICE, MINUTE_MS), {
    type: "single",
    softwareVersion: "v1",
    isCovered: true,
  });
});

test("a second version makes it mixed, and the first is remembered", () => {
  const at = MINUTE_MS;
  const history = observed(
    [0, "v1"],
    [at, "v1"],
    [at + 10, "v1", "v2"],
    [at + 20, "v1", "v2"],
  );
  assert.deepEqual(history.stateOf(SERVICE, at + 30), {
    type: "mixed",
    forMs: 20,
    before: { softwareVersion: "v1" },
  });
});

test("a host that has just started does not know what came before", () => {
  const history = observed([0, "v1"], [10, "v1", "v2"]);
  assert.deepEqual(history.stateOf(SERVICE, 30), { type: "mixed", forMs: 20 });
});

test("several versions from the start have none before them", () => {
  const history = observed([0, "v1", "v2"]);
  assert.deepEqual(history.stateOf(SERVICE, 1), {
    type: "mixed",
    forMs: 1,
  });
});

test("a version counts for a minute after it was last listed", () => {
  const history = observed([0, "v1"], [10, "v1", "v2"], [20, "v2"]);
  history.observe(listing("v2"), 10 + MINUTE_MS);
  assert.equal(history.stateOf(SERVICE, 10 + MINUTE_MS).type, "mixed");
  history.observe(listing("v2"), 11 + MINUTE_MS);
  assert.equal(history.stateOf(SERVICE, 11 + MINUTE_MS).type, "single");
});

test("a version counts as long as its streams can be resumed", () => {
  const history = observed([0, "v1"]);
  const ttlMs = 5 * MINUTE_MS;
  history.noteUse({ service: SERVICE, softwareVersion: "v1", ttlMs }, 0);
  for (let at = 0; at <= ttlMs; at += 1000) {
    history.observe(listing("v2"), at);
    assert.equal(history.stateOf(SERVICE, at).type, "mixed", `${at}`);
  }
  history.observe(listing("v2"), ttlMs + 1000);
  assert.equal(history.stateOf(SERVICE, ttlMs + 1000).type, "single");
});

test("a version in use counts although it isn't listed here yet", () => {
  const history = observed([0, "v1"]);
  const use = { service: SERVICE, softwareVersion: "v2", ttlMs: 1 };
  history.noteUse(use, 10);
  assert.equal(history.stateOf(SERVICE, 10).type, "mixed");
});

test("replicas without a version are of one version, unlike any named one", () => {
  const one = observed([0, undefined, undefined]);
  assert.equal(one.stateOf(SERVICE, 1).type, "single");
  const at = MINUTE_MS;
  const two = observed([0, undefined], [at, undefined], [
    at + 1,
    undefined,
    "v1",
  ]);
  assert.deepEqual(two.stateOf(SERVICE, at + 1), {
    type: "mixed",
    forMs: 0,
    before: { softwareVersion: undefined },
  });
});

test("each transition starts anew", () => {
  const history = observed([0, "v1"], [10, "v1", "v2"]);
  for (let at = 20; at <= 2 * MINUTE_MS; at += 1000) {
    history.observe(listing("v2"), at);
  }
  const later = 2 * MINUTE_MS + 20;
  history.observe(listing("v2", "v3"), later);
  assert.deepEqual(history.stateOf(SERVICE, later), {
    type: "mixed",
    forMs: 0,
    before: { softwareVersion: "v2" },
  });
});
