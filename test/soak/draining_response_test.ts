/**
 * Guards against new requests to a replica that reports in its responses that
 * it is draining while its store entry is still "ready".
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { StoreMode } from "../platform/store_standin.ts";
import { CallKind } from "./call.ts";
import { findSendsAfterDrainNotice } from "./notices.ts";
import { findForwardedRequests } from "./forwarded_requests.ts";
import {
  areServedAtAll,
  oneOfEachRole,
  runCallers,
  runCallersUntil,
  type TestFleet,
  withFleet,
} from "./test_fleet.ts";

const WARM_UP_MS = 1000;
const DRAINING_MS = 6000;
const ALL_KINDS = [CallKind.safe, CallKind.stream, CallKind.resumable];

/** The start of the log line of a host that learns that a replica drains. */
const LEAVING_EVENT = '"event":"replicaLeaving","replica":';

/** Whether all hosts have logged that they know these replicas to drain. */
function allKnowDraining(
  { hosts }: TestFleet,
  ids: ReadonlySet<string>,
): boolean {
  return hosts.every(({ process: { logLines } }) =>
    [...ids].every((id) =>
      logLines.some((line) => line.includes(`${LEAVING_EVENT}"${id}@`))
    )
  );
}

const ONE_DRAINING =
  "a replica that reports draining gets no new requests while the store is unavailable";
test(ONE_DRAINING, knownRed(ONE_DRAINING), async () => {
  await withFleet(async (fleet) => {
    const { world } = fleet;
    const draining = oneOfEachRole(fleet);
    assert.equal(draining.length, 3);
    await runCallers(fleet, { kinds: ALL_KINDS, forMs: WARM_UP_MS });
    world.store.mode = StoreMode.unresponsive;
    for (const standin of draining) standin.draining = true;
    const drainingIds = new Set(draining.map((standin) => standin.id));
    // The host that receives the report broadcasts it to the others.
    const early = await runCallersUntil(fleet, {
      kinds: ALL_KINDS,
      condition: () => allKnowDraining(fleet, drainingIds),
      what: "all hosts know the draining replicas",
    });
    const later = await runCallers(fleet, {
      kinds: ALL_KINDS,
      forMs: DRAINING_MS,
    });
    const results = [...early, ...later];
    const sent = findForwardedRequests(world.arrivals, results);
    assert.deepEqual(findSendsAfterDrainNotice(sent), []);
    const late = findForwardedRequests(world.arrivals, later)
      .filter(({ replica }) => drainingIds.has(replica));
    assert.equal(
      late.length,
      0,
      `${late.length} requests from hosts that received the update`,
    );
    // The other replicas have capacity for all requests.
    assert.deepEqual(results.filter((result) => result.status !== 200), []);
  });
});

const ALL_DRAINING =
  "a service whose replicas all report draining refuses requests at once";
test(ALL_DRAINING, knownRed(ALL_DRAINING), async () => {
  await withFleet(async (fleet) => {
    const plain = fleet.world.readyReplicas()
      .filter(({ standin }) => standin.role === "plain");
    const kinds = [CallKind.safe];
    await runCallers(fleet, { kinds, forMs: WARM_UP_MS });
    for (const { standin } of plain) standin.draining = true;
    const results = await runCallers(fleet, { kinds, forMs: DRAINING_MS });
    assert.deepEqual(
      findSendsAfterDrainNotice(
        findForwardedRequests(fleet.world.arrivals, results),
      ),
      [],
    );
    const other = results.filter((result) =>
      ![200, 503].includes(result.status)
    );
    assert.deepEqual(other, []);
    assert.ok(results.some((result) => result.status === 503));
    // A new replica takes over.
    await fleet.world.addReplica("plain", "north");
    await runCallersUntil(fleet, {
      kinds,
      condition: (after) => areServedAtAll(fleet, after),
      what: "all hosts use the new replica",
    });
    const laterResults = await runCallers(fleet, { kinds, forMs: WARM_UP_MS });
    assert.deepEqual(
      laterResults.filter((result) => result.status !== 200),
      [],
    );
  });
});
