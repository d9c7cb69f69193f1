/**
 * A fleet stops sending a request that crashes its replicas, whichever host its
 * caller tries next; requests that ran beside it are served.
 *
 * What was seen: one request ended ten replicas in ten seconds, by tries at
 * seven of nine hosts, five of them more than 3 s after the third replica had
 * ended.
 * The cause: no host knew what another had seen of it; see
 * crashing_request_test of the gateway.
 * What proved it: ten tries of one request, none of which came to a host that
 * had sent more than two of them.
 */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { CRASHING_BODY } from "../platform/replica_standin.ts";
import { knownRed } from "../known_red.ts";
import { CallKind, type Seen } from "./callers.ts";
import {
  callHost,
  endHosts,
  type FleetHost,
  makeHosts,
  versionAt,
} from "./fleet.ts";
import { pause } from "./strike.ts";
import { World } from "./world.ts";

const HOSTS = 4;
/** Crashes that a fleet needs to know the request by. */
const CRASHES = 3;
const TRIES_AFTER = 5;
/** From the third crash on, all hosts know of it by then. */
const KNOWN_MS = 3000;
const PAUSE_MS = 200;

function callOnce(
  host: FleetHost,
  call: { readonly kind: CallKind; readonly body?: string },
): Promise<Seen> {
  const id = `${call.kind}-${host.process.name}-${performance.now()}`;
  return callHost(host, { ...call, id });
}

async function untilAllServe(hosts: readonly FleetHost[], world: World) {
  for (const host of hosts) {
    while (await versionAt(host) !== world.version) await pause(PAUSE_MS);
    while (true) {
      const seen = await callOnce(host, { kind: CallKind.stream });
      if (seen.status === 200 && seen.isComplete) break;
      await pause(PAUSE_MS);
    }
  }
}

const NAME =
  "a request that crashed three replicas is sent to none by any host";
test(NAME, knownRed(NAME), async () => {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-crashing-"));
  const world = await World.start();
  const storeAddress = world.store.address;
  const hosts = await makeHosts(HOSTS, { folder, storeAddress });
  const hostAt = (at: number): FleetHost => {
    const host = hosts[at % HOSTS];
    if (!host) throw new Error(`No host ${at}`);
    return host;
  };
  const crashing = { kind: CallKind.stream, body: CRASHING_BODY };
  try {
    for (const { process } of hosts) process.start();
    await untilAllServe(hosts, world);
    for (let at = 0; world.crashed.length < CRASHES; at++) {
      await callOnce(hostAt(at), crashing);
      await pause(PAUSE_MS);
    }
    await pause(KNOWN_MS);
    const before = world.crashed.length;
    for (let at = 0; at < TRIES_AFTER; at++) {
      const seen = await callOnce(hostAt(at), crashing);
      const other = await callOnce(hostAt(at), { kind: CallKind.stream });
      assert.deepEqual([seen.status, other.status], [503, 200]);
    }
    assert.equal(world.crashed.length, before);
  } finally {
    await endHosts(hosts);
    world.stop();
    rmSync(folder, { recursive: true });
  }
});
