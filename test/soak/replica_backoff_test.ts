/**
 * Guards against requests to a replica during the backoff that it requires with
 * a 503, and against refusals while other replicas have capacity.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { CallKind } from "./call.ts";
import { findBackoffViolations } from "./notices.ts";
import { findForwardedRequests } from "./forwarded_requests.ts";
import {
  areServedAtAll,
  BUDGET_AGE_MS,
  oneOfEachRole,
  runCallers,
  runCallersUntil,
  withFleet,
} from "./test_fleet.ts";

const WARM_UP_MS = 1000;
const BUSY_MS = 7000;
const BACKOFF_S = "2.5";
const ALL_KINDS = [CallKind.safe, CallKind.stream, CallKind.resumable];

const ONE_BACKOFF =
  "a host sends nothing to a replica that requires it to back off";
test(ONE_BACKOFF, knownRed(ONE_BACKOFF), async () => {
  await withFleet(async (fleet) => {
    const busy = oneOfEachRole(fleet);
    assert.equal(busy.length, 3);
    await runCallers(fleet, { kinds: ALL_KINDS, forMs: BUDGET_AGE_MS });
    for (const standin of busy) standin.backoff = { text: BACKOFF_S };
    const results = await runCallers(fleet, {
      kinds: ALL_KINDS,
      forMs: BUSY_MS,
    });
    assert.deepEqual(
      findBackoffViolations(
        findForwardedRequests(fleet.world.arrivals, results),
      ),
      [],
    );
    // The other replicas have capacity for all requests.
    assert.deepEqual(results.filter((result) => result.status !== 200), []);
    for (const standin of busy) standin.backoff = undefined;
    await runCallersUntil(fleet, {
      kinds: ALL_KINDS,
      condition: (laterResults) => {
        const sent = findForwardedRequests(fleet.world.arrivals, laterResults);
        return busy.every(({ id }) =>
          sent.some(({ replica }) => replica === id)
        );
      },
      what: "all replicas get requests again",
    });
  });
});

const ALL_BACKOFF =
  "a service whose replicas all require a backoff gets no requests";
test(ALL_BACKOFF, knownRed(ALL_BACKOFF), async () => {
  await withFleet(async (fleet) => {
    const plain = fleet.world.readyReplicas()
      .filter(({ standin }) => standin.role === "plain");
    const kinds = [CallKind.safe];
    await runCallers(fleet, { kinds, forMs: WARM_UP_MS });
    for (const { standin } of plain) standin.backoff = { text: BACKOFF_S };
    const results = await runCallers(fleet, { kinds, forMs: BUSY_MS });
    assert.deepEqual(
      findBackoffViolations(
        findForwardedRequests(fleet.world.arrivals, results),
      ),
      [],
    );
    const other = results.filter((result) =>
      ![200, 503].includes(result.status)
    );
    assert.deepEqual(other, []);
    for (const { standin } of plain) standin.backoff = undefined;
    await runCallersUntil(fleet, {
      kinds,
      condition: (after) => areServedAtAll(fleet, after),
      what: "all hosts serve after the backoffs",
    });
    const laterResults = await runCallers(fleet, { kinds, forMs: WARM_UP_MS });
    assert.deepEqual(
      laterResults.filter((result) => result.status !== 200),
      [],
    );
  });
});
