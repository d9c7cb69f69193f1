/**
 * Guards against a replica that reports a rate limit and gets more than that
 * from all hosts together.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import {
  LIMIT_WINDOW_MS,
  maxAllowed,
  maxWithin,
} from "../platform/rate_windows.ts";
import { CallKind, type CallResult } from "./call.ts";
import {
  oneOfEachRole,
  reportsAtAll,
  runCallers,
  runCallersUntil,
  type TestFleet,
  withFleet,
} from "./test_fleet.ts";

const PER_SECOND = 1.4;
const LIMIT_DURATION_MS = 10_000;
/** The owner of a limit that stalls costs seconds of its rate, so use is measured over more. */
const USE_DURATION_MS = 20_000;
/** The time after which no request from before the limit is in the window. */
const SETTLE_MS = 4500;
const WARM_UP_MS = 1500;
const ALL_KINDS = [CallKind.safe, CallKind.stream, CallKind.resumable];

/** In terms of `performance.now()`. */
type TimeRange = { readonly from: number; readonly to: number };

function arrivalsAt(
  { world }: TestFleet,
  replica: string,
  { from, to }: TimeRange,
): number[] {
  return world.arrivals
    .filter((arrival) => arrival.replica === replica)
    .map((arrival) => arrival.atMs)
    .filter((atMs) => atMs >= from && atMs < to);
}

/** Asserts that the replica got no more requests than its limit allows. */
function assertWithinLimit(
  fleet: TestFleet,
  replica: string,
  range: TimeRange,
): void {
  const max = maxWithin(arrivalsAt(fleet, replica, range), LIMIT_WINDOW_MS);
  const message = `${replica}: ${max} requests within ${LIMIT_WINDOW_MS} ms`;
  assert.ok(max <= maxAllowed(PER_SECOND), message);
}

/** Returns the used share of a replica's rate limit after the settling time. */
function usedShare(
  fleet: TestFleet,
  replica: string,
  range: TimeRange,
): number {
  const settled = { from: range.from + SETTLE_MS, to: range.to };
  const used = arrivalsAt(fleet, replica, settled).length;
  return used / (PER_SECOND * (settled.to - settled.from) / 1000);
}

/** Runs callers until all hosts know that so many replicas have a limit. */
function runUntilLimitsKnown(
  fleet: TestFleet,
  { kinds, limited }: {
    readonly kinds: readonly CallKind[];
    readonly limited: number;
  },
): Promise<CallResult[]> {
  return runCallersUntil(fleet, {
    kinds,
    condition: () => reportsAtAll(fleet, "replicas_limited", limited),
    what: `all hosts know ${limited} limits`,
  });
}

const ONE_LIMITED = "all hosts together keep to the rate limit of a replica";
test(ONE_LIMITED, knownRed(ONE_LIMITED), async () => {
  await withFleet(async (fleet) => {
    const limited = oneOfEachRole(fleet);
    assert.equal(limited.length, 3);
    await runCallers(fleet, { kinds: ALL_KINDS, forMs: WARM_UP_MS });
    for (const standin of limited) standin.limit = String(PER_SECOND);
    const kinds = ALL_KINDS;
    const early = await runUntilLimitsKnown(fleet, {
      kinds,
      limited: limited.length,
    });
    const from = performance.now();
    const during = await runCallers(fleet, {
      kinds,
      forMs: LIMIT_DURATION_MS,
    });
    const to = performance.now();
    for (const { id } of limited) assertWithinLimit(fleet, id, { from, to });
    // They still get requests, so that hosts notice when their limits end.
    const late = await runCallersUntil(fleet, {
      kinds,
      condition: () =>
        limited.every(({ id }) =>
          arrivalsAt(fleet, id, { from: from + SETTLE_MS, to: Infinity })
            .length > 0
        ),
      what: "all limited replicas get requests",
    });
    // The other replicas have capacity for all requests.
    const results = [...early, ...during, ...late];
    assert.deepEqual(results.filter((result) => result.status !== 200), []);
    for (const standin of limited) standin.limit = undefined;
    await runUntilLimitsKnown(fleet, { kinds, limited: 0 });
  });
});

const ALL_LIMITED =
  "a service whose replicas all have rate limits is used up to the limits";
test(ALL_LIMITED, knownRed(ALL_LIMITED), async () => {
  await withFleet(async (fleet) => {
    const plain = fleet.world.readyReplicas()
      .filter(({ standin }) => standin.role === "plain");
    const kinds = [CallKind.safe];
    await runCallers(fleet, { kinds, forMs: WARM_UP_MS });
    for (const { standin } of plain) standin.limit = String(PER_SECOND);
    const early = await runUntilLimitsKnown(fleet, {
      kinds,
      limited: plain.length,
    });
    const from = performance.now();
    const during = await runCallers(fleet, { kinds, forMs: USE_DURATION_MS });
    const to = performance.now();
    for (const { standin } of plain) {
      assertWithinLimit(fleet, standin.id, { from, to });
      const share = usedShare(fleet, standin.id, { from, to });
      assert.ok(share > 0.5, `${standin.id}: ${share}`);
    }
    const results = [...early, ...during];
    const other = results.filter((result) =>
      ![200, 503].includes(result.status)
    );
    assert.deepEqual(other, []);
    assert.ok(results.some((result) => result.status === 503));
  });
});
