/** A stream's version is found or unknown, but never guessed among several. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import type { AskResponse } from "../../../src/gateway/streams/keeper_messages.ts";
import type { ResolutionQuery } from "../../../src/gateway/streams/resolve_version.ts";
import type { VersionState } from "../../../src/gateway/streams/version_history.ts";
import {
  HOSTS,
  known,
  NONE,
  recordOf,
  resolve,
  SINGLE,
  versions,
} from "./resolution.ts";

const asksNobody: ResolutionQuery["ask"] = () => {
  throw new Error("unexpected question");
};

test("a host asks nobody for a stream that it sent itself", async () => {
  const own = { record: recordOf("self@1"), ask: asksNobody };
  const { binding, source } = await resolve([], own);
  assert.deepEqual(binding, { type: "bound", softwareVersion: "v1" });
  assert.equal(source, "own");
});

test("a host that lists one version still asks for another one", async () => {
  const single = { stateOf: () => SINGLE };
  const alone = await resolve([versions("v1"), NONE], single);
  assert.deepEqual(alone.binding, { type: "bound", softwareVersion: "v1" });
  assert.equal(alone.source, "inferred");
  const other = await resolve([versions("v1", "v2")], single);
  assert.equal(other.binding.type, "unknown");
  const { binding } = await resolve([NONE, known("v2")], single);
  assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
});

test("the version before a transition is inferred only if all hosts list it", async () => {
  const before = { softwareVersion: "v1" };
  const stateOf = (): VersionState => ({ type: "mixed", forMs: 10, before });
  const typeOf = async (...responses: AskResponse[]) =>
    (await resolve(responses, { stateOf })).binding.type;
  const both = versions("v1", "v2");
  assert.equal(await typeOf(both, both, both), "bound");
  assert.equal(await typeOf(both, versions("v2"), both), "unknown");
});

test("a stream of a mixed service is bound as its keepers say", async () => {
  const { binding, source } = await resolve([NONE, known("v2"), null]);
  assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
  assert.equal(source, "kept");
  const none = await resolve([known(undefined)]);
  assert.deepEqual(none.binding, { type: "bound", softwareVersion: undefined });
});

test("of the records of one origin the latest counts", async () => {
  const stale = known("v1", { order: 4 });
  const latest = known("v2", { order: 5 });
  for (const responses of [[stale, latest], [latest, stale]]) {
    const { binding } = await resolve(responses);
    assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
  }
});

test("a kept record of this host is compared with others", async () => {
  const record = recordOf("h9@1");
  const { binding } = await resolve([known("v2", { order: 5 })], { record });
  assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
  const alone = await resolve([], { record });
  assert.deepEqual(alone.binding, { type: "bound", softwareVersion: "v1" });
});

test("records of several origins that contradict each other bind to none", async () => {
  const other = known("v2", { origin: "h8@1" });
  assert.equal((await resolve([known("v1"), other])).binding.type, "unknown");
  const agreeing = await resolve([known("v2"), other]);
  assert.equal(agreeing.binding.type, "bound");
});

test("a stream of a mixed service that nobody knows is unknown", async () => {
  for (const responses of [[], [NONE, NONE], [versions("v1", "v2")]]) {
    assert.equal((await resolve(responses)).binding.type, "unknown");
  }
});

test("just after a transition, an unknown stream is of the version before", async () => {
  const before = { softwareVersion: "v1" };
  const at = (forMs: number, ...others: AskResponse[]) =>
    resolve([{ ...NONE, mixedForMs: forMs }, ...others], {
      stateOf: () => ({ type: "mixed", forMs, before }),
    });
  const seen = (mixedForMs: number) => ({ ...NONE, mixedForMs });
  assert.deepEqual((await at(4999, seen(4999), seen(4999))).binding, {
    type: "bound",
    softwareVersion: "v1",
  });
  const ended = await at(5000, seen(5000), seen(5000));
  assert.equal(ended.binding.type, "unknown");
  // Keepers that have just started may have lost the record.
  assert.equal((await at(4999, NONE, NONE)).binding.type, "unknown");
});

test("a transition is over once any host has seen both versions for long", async () => {
  const before = { softwareVersion: "v1" };
  const stateOf = (): VersionState => ({ type: "mixed", forMs: 10, before });
  const typeOf = async (mixedForMs: number) => {
    const longer: AskResponse = { ...versions("v1", "v2"), mixedForMs };
    return (await resolve([NONE, longer, NONE], { stateOf })).binding.type;
  };
  assert.equal(await typeOf(4000), "bound");
  assert.equal(await typeOf(6000), "unknown");
});

test("a host that has just started asks before it infers", async () => {
  const stateOf = (): VersionState => ({ ...SINGLE, isCovered: false });
  const typeOf = async (responses: readonly (AskResponse | null)[]) =>
    (await resolve(responses, { stateOf })).binding.type;
  assert.equal(await typeOf([versions("v1")]), "bound");
  assert.equal(await typeOf([versions("v1", "v0")]), "unknown");
  assert.equal(await typeOf([versions("v0")]), "unknown");
  assert.equal(await typeOf([versions(null)]), "unknown");
});

test("a host that has just started infers nothing while no other host responds", async () => {
  const stateOf = (): VersionState => ({ ...SINGLE, isCovered: false });
  const typeOf = async (asked: readonly HostEntry[]) =>
    (await resolve([], { stateOf, asked })).binding.type;
  assert.equal(await typeOf(HOSTS), "unknown");
  assert.equal(await typeOf(HOSTS.slice(0, 1)), "unknown");
  // Before the hosts are listed there is nobody to ask.
  assert.equal(await typeOf([]), "unknown");
});

// Guards against streams that go on at another version after all hosts ended.
test("hosts that have all just started infer nothing from each other", async () => {
  const stateOf = (): VersionState => ({ ...SINGLE, isCovered: false });
  const young = { ...versions("v1"), isCovered: false };
  const old = { ...versions("v1"), isCovered: true };
  const typeOf = async (...responses: AskResponse[]) =>
    (await resolve(responses, { stateOf })).binding.type;
  assert.equal(await typeOf(young, young), "unknown");
  assert.equal(await typeOf(young, old), "bound");
  const other = { ...versions("v0"), isCovered: false };
  assert.equal(await typeOf(other, old), "unknown");
});

test("a stream that no host knows is bound as the store says", async () => {
  const archived = { type: "found", softwareVersion: "v2" } as const;
  const findArchived = () => Promise.resolve(archived);
  const found = await resolve([NONE], { findArchived });
  assert.deepEqual(found.binding, { type: "bound", softwareVersion: "v2" });
  assert.equal(found.source, "archived");
  // Records that contradict each other are not overruled.
  const contradicted = [known("v1"), known("v2", { origin: "h8@1" })];
  const unknown = await resolve(contradicted, { findArchived });
  assert.equal(unknown.binding.type, "unknown");
});

test("without replicas nothing is inferred", async () => {
  const none = { stateOf: (): VersionState => ({ type: "none" }) };
  assert.equal((await resolve([versions("v1")], none)).binding.type, "unknown");
});
