/** A fleet of host processes before stand-ins, and callers at all of them. */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { xoroshiro128plus } from "pure-rand";
import { draw } from "../../src/util/chance.ts";
import type { ReplicaStandin } from "../platform/replica_standin.ts";
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
/** Callers of each host that send one request after the other. */
const CALLERS = 5;
const CALL_PAUSE_MS = 20;
const MORE_PAUSE_MS = 200;
const LOOK_MS = 200;

/** The hosts and what is around them. */
export type Stage = {
  readonly world: World;
  readonly hosts: readonly FleetHost[];
};

/** Runs a fleet for the time of `work`. */
export async function withFleet(
  work: (stage: Stage) => Promise<void>,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-fleet-"));
  const world = await World.start();
  const storeAddress = world.store.address;
  const hosts = await makeHosts(HOSTS, { folder, storeAddress });
  try {
    for (const { process } of hosts) process.start();
    for (const host of hosts) {
      while (await versionAt(host) !== world.version) await pause(LOOK_MS);
    }
    await work({ world, hosts });
  } finally {
    await endHosts(hosts);
    world.stop();
    rmSync(folder, { recursive: true });
  }
}

/** Callers send to all hosts for a time; gives what they saw. */
export async function callFor(
  { hosts }: Stage,
  { kinds, forMs }: {
    readonly kinds: readonly CallKind[];
    readonly forMs: number;
  },
): Promise<Seen[]> {
  const endsAt = performance.now() + forMs;
  const seen: Seen[] = [];
  const calls = hosts.flatMap((host) =>
    Array.from({ length: CALLERS }, async (_, caller) => {
      const random = xoroshiro128plus(caller);
      for (let at = 0; performance.now() < endsAt; at++) {
        const kind = kinds[(at + caller) % kinds.length] ?? CallKind.safe;
        const id = `${kind}-${host.process.name}-${caller}-${at}-${endsAt}`;
        seen.push(await callHost(host, { id, kind }));
        await pause(CALL_PAUSE_MS + draw(random, MORE_PAUSE_MS));
      }
    })
  );
  await Promise.all(calls);
  return seen;
}

/** One plain replica, one that decodes and one that reads prompts. */
export function oneOfEachRole({ world }: Stage): ReplicaStandin[] {
  const all = world.ready().map((one) => one.standin);
  return (["plain", "decode", "prefill"] as const).flatMap((role) =>
    all.filter((one) => one.role === role).slice(0, 1)
  );
}
