/**
 * Guards against a request that crashes one replica after another because its
 * caller retries at hosts that do not share their crash reports.
 */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { CRASHING_BODY } from "../platform/replica_standin.ts";
import { knownRed } from "../known_red.ts";
import { CallKind, type CallResult } from "./call.ts";
import {
  callHost,
  createHosts,
  type FleetHost,
  readRoutesVersion,
  stopHosts,
} from "./fleet.ts";
import { sleep } from "./sleep.ts";
import { World } from "./world.ts";

const HOSTS = 4;
/** Crashes after which hosts refuse the request. */
const CRASH_THRESHOLD = 3;
const LATER_ATTEMPTS = 5;
/** The time within which all hosts receive the crash reports. */
const PROPAGATION_MS = 3000;
const POLL_INTERVAL_MS = 200;

function callOnce(
  host: FleetHost,
  call: { readonly kind: CallKind; readonly body?: string },
): Promise<CallResult> {
  const id = `${call.kind}-${host.process.name}-${performance.now()}`;
  return callHost(host, { ...call, id });
}

async function waitUntilAllServe(hosts: readonly FleetHost[], world: World) {
  for (const host of hosts) {
    while (await readRoutesVersion(host) !== world.version) {
      await sleep(POLL_INTERVAL_MS);
    }
    while (true) {
      const result = await callOnce(host, { kind: CallKind.stream });
      if (result.status === 200 && result.isComplete) break;
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

const NAME = "no host forwards a request that has crashed three replicas";
test(NAME, knownRed(NAME), async () => {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-crashing-"));
  const world = await World.start();
  const storeAddress = world.store.address;
  const hosts = await createHosts(HOSTS, { folder, storeAddress });
  const hostAt = (at: number): FleetHost => {
    const host = hosts[at % HOSTS];
    if (!host) throw new Error(`No host ${at}`);
    return host;
  };
  const crashing = { kind: CallKind.stream, body: CRASHING_BODY };
  try {
    for (const { process } of hosts) process.start();
    await waitUntilAllServe(hosts, world);
    for (let at = 0; world.crashed.length < CRASH_THRESHOLD; at++) {
      await callOnce(hostAt(at), crashing);
      await sleep(POLL_INTERVAL_MS);
    }
    await sleep(PROPAGATION_MS);
    const crashesBefore = world.crashed.length;
    for (let at = 0; at < LATER_ATTEMPTS; at++) {
      const result = await callOnce(hostAt(at), crashing);
      const other = await callOnce(hostAt(at), { kind: CallKind.stream });
      assert.deepEqual([result.status, other.status], [503, 200]);
    }
    assert.equal(world.crashed.length, crashesBefore);
  } finally {
    await stopHosts(hosts);
    world.stop();
    rmSync(folder, { recursive: true });
  }
});
