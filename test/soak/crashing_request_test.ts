/**
 * Guards against a request that crashes one replica after another because its
 * caller retries at hosts that do not share their crash reports.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CRASHING_BODY } from "../platform/crashing_requests.ts";
import { knownRed } from "../known_red.ts";
import { CallKind, type CallResult } from "./call.ts";
import { callHost, type FleetHost } from "./fleet.ts";
import { sleep } from "./sleep.ts";
import {
  isServed,
  reportsAtAll,
  type TestFleet,
  waitUntil,
  withFleet,
} from "./test_fleet.ts";

/** Crashes after which hosts refuse the request. */
const CRASH_THRESHOLD = 3;
const LATER_ATTEMPTS = 5;
const CALL_INTERVAL_MS = 200;
const CRASHING = { kind: CallKind.stream, body: CRASHING_BODY };

function callOnce(
  host: FleetHost,
  call: { readonly kind: CallKind; readonly body?: string },
): Promise<CallResult> {
  const id = `${call.kind}-${host.process.name}-${performance.now()}`;
  return callHost(host, { ...call, id });
}

/** Resolves when each host has served a stream. */
async function waitUntilAllServe({ hosts }: TestFleet): Promise<void> {
  for (const host of hosts) {
    await waitUntil(
      async () => isServed(await callOnce(host, { kind: CallKind.stream })),
      `${host.process.name} serves streams`,
    );
  }
}

const NAME = "no host forwards a request that has crashed three replicas";
test(NAME, knownRed(NAME), async () => {
  await withFleet(async (fleet) => {
    const { world, hosts } = fleet;
    const hostAt = (at: number): FleetHost => {
      const host = hosts[at % hosts.length];
      if (!host) throw new Error(`No host ${at}`);
      return host;
    };
    await waitUntilAllServe(fleet);
    for (let at = 0; world.crashed.length < CRASH_THRESHOLD; at++) {
      await callOnce(hostAt(at), CRASHING);
      await sleep(CALL_INTERVAL_MS);
    }
    await waitUntil(
      () => reportsAtAll(fleet, "crash_quarantined", 1),
      "all hosts have the request quarantined",
    );
    // The crashed replicas have successors.
    await waitUntilAllServe(fleet);
    const crashesBefore = world.crashed.length;
    for (let at = 0; at < LATER_ATTEMPTS; at++) {
      const result = await callOnce(hostAt(at), CRASHING);
      const other = await callOnce(hostAt(at), { kind: CallKind.stream });
      assert.deepEqual([result.status, other.status], [503, 200]);
    }
    assert.equal(world.crashed.length, crashesBefore);
  });
});
