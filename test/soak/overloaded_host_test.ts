/**
 * Guards against a host that gets more connections than its processor time
 * serves, and holds the requests that it reads or serves few of them.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallResult } from "./call.ts";
import {
  isClosedUnread,
  type OpenCall,
  runKeptCallers,
  runOpenCallers,
} from "./open_callers.ts";
import { findHeldRequests } from "./held_requests.ts";
import { callerHosts, limitHosts } from "./fleet.ts";
import { isServed, type TestFleet, withFleet } from "./test_fleet.ts";

/** Processor time of a host, in cores. */
const HOST_SHARE = 0.25;
/**
 * The hot host gets nine tenths, about twice what it serves; the others serve
 * the rest with ease.
 */
const REQUESTS_PER_SECOND = 130;
const BEFORE_MS = 8000;
const CROWD_MS = 12_000;
/** A host has this time to adapt. */
const SETTLING_MS = 4000;
/** Least share of the requests read and served, against the share before. */
const MIN_SERVED = 0.75;
const MIN_SAMPLE = 100;

/** Almost three times what the host serves, on connections that are open. */
const KEPT_CALLERS = {
  callers: 350,
  firstIntervalMs: 9000,
  firstForMs: 9000,
  intervalMs: 2000,
  forMs: 17_000,
};

type Tries = {
  /** At all hosts before the crowd. */
  readonly before: readonly CallResult[];
  /** At the hot host during the crowd. */
  readonly hot: readonly CallResult[];
  /** The last tries of requests during the crowd. */
  readonly last: readonly CallResult[];
};

async function playCrowd({ hosts: fleet }: TestFleet): Promise<Tries> {
  const limit = limitHosts(fleet, HOST_SHARE);
  const hosts = callerHosts(fleet);
  const hot = hosts[0]?.name ?? "";
  const shared = { hosts, seed: 1, requestsPerSecond: REQUESTS_PER_SECOND };
  const before = await runOpenCallers({ ...shared, forMs: BEFORE_MS });
  const crowd = await runOpenCallers({
    ...shared,
    forMs: CROWD_MS,
    hotHost: hot,
  });
  await limit.end();
  const during = settled(crowd);
  return {
    before: settled(before).flatMap((call) => call.tries),
    hot: during.flatMap((call) => call.tries).filter((call) =>
      call.host === hot
    ),
    last: during.flatMap((call) => call.tries.slice(-1)),
  };
}

/** Callers that keep their connections to one host send more at once. */
async function playKeptConnections(
  { hosts: fleet }: TestFleet,
): Promise<readonly CallResult[]> {
  const limit = limitHosts(fleet, HOST_SHARE);
  const hosts = callerHosts(fleet);
  const [first] = hosts;
  if (!first) throw new Error("The fleet has no hosts");
  const startedAt = performance.now();
  const results = await runKeptCallers({ hosts, first, ...KEPT_CALLERS });
  await limit.end();
  // From then on all callers send at the shorter interval.
  const fromMs = startedAt + KEPT_CALLERS.firstForMs +
    KEPT_CALLERS.firstIntervalMs;
  return results.filter(({ sentAtMs, host }) =>
    sentAtMs >= fromMs && host === first.name
  );
}

function settled(calls: readonly OpenCall[]): readonly OpenCall[] {
  const fromMs = (calls[0]?.sentAtMs ?? 0) + SETTLING_MS;
  return calls.filter(({ sentAtMs }) => sentAtMs >= fromMs);
}

function assertNotHeld(tries: readonly CallResult[]): void {
  assert.deepEqual(findHeldRequests(readTries(tries)), []);
}

function readTries(tries: readonly CallResult[]): readonly CallResult[] {
  const read = tries.filter((call) => !isClosedUnread(call));
  assert.ok(read.length >= MIN_SAMPLE, `${read.length} requests were read`);
  return read;
}

function servedShare(tries: readonly CallResult[]): number {
  return tries.filter(isServed).length / tries.length;
}

// Connections waited for seconds before they were accepted, and the timeouts of
// their requests began only then.
test("a host that gets most connections holds no request past its timeout", async () => {
  await withFleet(async (fleet) => {
    const { hot } = await playCrowd(fleet);
    assertNotHeld(hot);
  });
});

// A host accepted all connections, so that all their requests came too late.
test("a host that gets most connections serves the requests that it reads", async () => {
  await withFleet(async (fleet) => {
    const { before, hot, last } = await playCrowd(fleet);
    const shareBefore = servedShare(readTries(before));
    const share = servedShare(readTries(hot));
    assert.ok(
      share >= MIN_SERVED * shareBefore,
      `${share} of the requests after ${shareBefore} before`,
    );
    const inTheEnd = servedShare(last);
    assert.ok(
      inTheEnd >= MIN_SERVED * shareBefore,
      `${inTheEnd} of the callers after ${shareBefore} before`,
    );
  });
});

// The event loop reads all requests that have arrived in one iteration, so its
// iterations grew to seconds and all requests with them.
test("a host that gets more on open connections than it serves holds no request past its timeout", async () => {
  await withFleet(async (fleet) => {
    const tries = await playKeptConnections(fleet);
    assertNotHeld(tries);
    assert.ok(
      servedShare(readTries(tries)) >= MIN_SERVED,
      `${servedShare(readTries(tries))} of the requests were served`,
    );
  });
});
