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
import { xoroshiro128plus } from "pure-rand";
import { CRASHING_BODY } from "../platform/replica_standin.ts";
import { knownRed } from "../known_red.ts";
import { CallKind, runCaller, type Seen } from "./callers.ts";
import { type FleetHost, makeHosts, versionAt } from "./fleet.ts";
import { pause } from "./strike.ts";
import { World } from "./world.ts";

const HOSTS = 4;
/** Crashes that a fleet needs to know the request by. */
const CRASHES = 3;
const TRIES_AFTER = 5;
/** From the third crash on, all hosts know of it by then. */
const KNOWN_MS = 3000;
const PAUSE_MS = 200;

async function callOnce(
  host: FleetHost,
  call: { readonly kind: CallKind; readonly body?: string },
): Promise<Seen> {
  const all: Seen[] = [];
  await runCaller({
    hosts: [{ name: host.process.name, address: host.callers }],
    random: xoroshiro128plus(1),
    name: `${call.kind}-${host.process.name}-${performance.now()}`,
    kinds: [call.kind],
    ...(call.body === undefined ? {} : { body: call.body }),
    most: 1,
    isIn: () => true,
    isOver: () => false,
    saw: (seen) => all.push(seen),
  });
  const [seen] = all;
  if (!seen) throw new Error("The caller saw nothing");
  return seen;
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
    for (const { process, storePath, peerPath } of hosts) {
      await process.kill();
      storePath.stop();
      peerPath.stop();
    }
    world.stop();
    rmSync(folder, { recursive: true });
  }
});
