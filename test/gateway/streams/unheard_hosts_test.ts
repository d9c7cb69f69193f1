/** Silence of other hosts or of the store is not taken for their consent. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import type { AskResponse } from "../../../src/gateway/streams/keeper_messages.ts";
import type { ResolutionQuery } from "../../../src/gateway/streams/resolve_version.ts";
import type { VersionState } from "../../../src/gateway/streams/version_history.ts";
import {
  HOSTS,
  NONE,
  recordOf,
  resolve,
  SINGLE,
  versions,
} from "./resolution.ts";

test("while the store is silent, a host with an old listing infers only when all hosts respond", async () => {
  const change: Partial<ResolutionQuery> = {
    stateOf: () => SINGLE,
    isListingRecent: () => false,
    confirmListing: () => Promise.resolve(false),
    findArchived: () => Promise.resolve({ type: "unreadable" }),
  };
  const typeOf = async (responses: readonly (AskResponse | null)[]) =>
    (await resolve(responses, change)).binding.type;
  const one = versions("v1");
  assert.equal(await typeOf([]), "unknown");
  assert.equal(await typeOf([one, null, null, one, null, null]), "unknown");
  assert.equal(await typeOf([null, one, null, null, null, null]), "unknown");
  assert.equal(await typeOf([one, one, null, null, null, one]), "unknown");
  assert.equal(await typeOf([one, one, one, one, one, one]), "bound");
  assert.equal(await typeOf([one, one, one, one, one, NONE]), "bound");
  assert.equal(
    await typeOf([one, one, one, one, one, versions("v2")]),
    "unknown",
  );
});

// Guards against several hosts that are out of step together.
test("a host with an old listing asks the store although all hosts respond", async () => {
  const one = versions("v1");
  const { binding, source } = await resolve([one, one, one, one, one, one], {
    stateOf: () => SINGLE,
    isListingRecent: () => false,
    findArchived: () =>
      Promise.resolve({ type: "found", softwareVersion: "v2" }),
  });
  assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
  assert.equal(source, "archived");
});

// Guards against a failed read that is taken for "not stored".
test("nothing is inferred beside silent hosts while the streams in the store can't be read", async () => {
  const before = { softwareVersion: "v1" };
  const both = versions("v1", "v2");
  const typeOf = async (
    stateOf: () => VersionState,
    responses: readonly (AskResponse | null)[],
  ) => {
    const { binding } = await resolve(responses, {
      stateOf,
      isListingRecent: () => false,
      findArchived: () => Promise.resolve({ type: "unreadable" }),
    });
    return binding.type;
  };
  const mixed = (): VersionState => ({ type: "mixed", forMs: 10, before });
  assert.equal(await typeOf(mixed, [both, both, both]), "unknown");
  assert.equal(await typeOf(() => SINGLE, []), "unknown");
});

// Guards against rejecting all streams when the other hosts have just ended.
test("the only version is inferred when all others have ended and the store is silent for a moment", async () => {
  const typeOf = async (isRecent: boolean, ended: readonly HostEntry[]) => {
    const { binding } = await resolve([], {
      stateOf: () => SINGLE,
      ask: () => Promise.resolve({ answers: [], ended }),
      isListingRecent: () => isRecent,
      confirmListing: () => Promise.resolve(false),
      findArchived: () => Promise.resolve({ type: "unreadable" }),
    });
    return binding.type;
  };
  assert.equal(await typeOf(true, HOSTS), "bound");
  assert.equal(await typeOf(true, HOSTS.slice(1)), "unknown");
  assert.equal(await typeOf(false, HOSTS), "unknown");
});

// Guards against a keeper that has lost its records.
test("a keeper that started after the second version joined doesn't speak for the one before", async () => {
  const before = { softwareVersion: "v1" };
  const typeOf = async (mixedForMs: number) => {
    const response = { ...versions("v1", "v2"), mixedForMs };
    const { binding } = await resolve([response, response, response], {
      stateOf: () => ({ type: "mixed", forMs: 2000, before }),
    });
    return binding.type;
  };
  assert.equal(await typeOf(400), "unknown");
  assert.equal(await typeOf(1900), "bound");
});

// Guards against the word of hosts that may not have the record.
test("the version before a transition isn't inferred without the keepers of the stream", async () => {
  const before = { softwareVersion: "v1" };
  const typeOf = async (commonKeepers: readonly HostEntry[]) => {
    const answers = HOSTS.slice(3).map((host) => ({
      host,
      response: versions("v1", "v2"),
    }));
    const { binding } = await resolve([], {
      stateOf: () => ({ type: "mixed", forMs: 10, before }),
      commonKeepers,
      ask: () => Promise.resolve({ answers, ended: HOSTS.slice(0, 3) }),
    });
    return binding.type;
  };
  assert.equal(await typeOf(HOSTS.slice(0, 3)), "unknown");
  // The record may have reached only those that have ended.
  assert.equal(await typeOf(HOSTS.slice(1, 4)), "unknown");
  assert.equal(await typeOf(HOSTS.slice(2, 5)), "unknown");
  assert.equal(await typeOf(HOSTS.slice(3)), "bound");
});

// Guards against a keeper that has ended with the only record of a host that
// isn't asked.
test("a keeper may have ended only if it can have been the origin", async () => {
  const before = { softwareVersion: "v1" };
  const typeOf = async (isFleetAsked: boolean, ended: number) => {
    const answers = HOSTS.slice(ended).map((host) => ({
      host,
      response: versions("v1", "v2"),
    }));
    const { binding } = await resolve([], {
      stateOf: () => ({ type: "mixed", forMs: 10, before }),
      isFleetAsked,
      ask: () => Promise.resolve({ answers, ended: HOSTS.slice(0, ended) }),
    });
    return binding.type;
  };
  assert.equal(await typeOf(true, 0), "bound");
  assert.equal(await typeOf(true, 1), "bound");
  assert.equal(await typeOf(true, 2), "unknown");
  assert.equal(await typeOf(false, 0), "bound");
  assert.equal(await typeOf(false, 1), "unknown");
});

// Guards against the silence of hosts that is taken for their consent.
test("a host that hears nobody doesn't infer the version before a transition", async () => {
  const before = { softwareVersion: "v1" };
  const stateOf = (): VersionState => ({ type: "mixed", forMs: 10, before });
  const both = versions("v1", "v2");
  for (
    const responses of [[], [both], [both, both], [both, null, null, both]]
  ) {
    assert.equal(
      (await resolve(responses, { stateOf })).binding.type,
      "unknown",
    );
  }
});

test("hosts that have ended are not waited for, but the keepers have to respond", async () => {
  const before = { softwareVersion: "v1" };
  const both = versions("v1", "v2");
  const typeOf = async (respondingHosts: number) => {
    const answers = HOSTS.slice(0, respondingHosts)
      .map((host) => ({ host, response: both }));
    const ended = HOSTS.slice(respondingHosts);
    const { binding } = await resolve([], {
      stateOf: () => ({ type: "mixed", forMs: 10, before }),
      ask: () => Promise.resolve({ answers, ended }),
    });
    return binding.type;
  };
  assert.equal(await typeOf(3), "bound");
  assert.equal(await typeOf(2), "unknown");
  assert.equal(await typeOf(1), "unknown");
  assert.equal(await typeOf(0), "unknown");
});

test("a host that hears nobody prefers what the store says to a record that it keeps", async () => {
  const record = recordOf("h9@1");
  const archived = { type: "found", softwareVersion: "v2" } as const;
  const findArchived = () => Promise.resolve(archived);
  const { binding, source } = await resolve([], { record, findArchived });
  assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
  assert.equal(source, "archived");
});
