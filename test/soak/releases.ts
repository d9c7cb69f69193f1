/** Replaces the replicas of a model engine by those of another version. */
import type { ReplicaRole } from "../platform/replica_standin.ts";
import { sleep } from "./sleep.ts";
import {
  FIRST_SOFTWARE_VERSION,
  type World,
  type WorldReplica,
} from "./world.ts";

/** Versions that a release may install. */
const NEXT_SOFTWARE_VERSIONS = ["v2", "v3"] as const;
/** How long the replicas of both versions serve. */
const SIDE_BY_SIDE_MS = 2500;
/** The time between two replicas that begin to drain. */
const STEP_MS = 200;

/**
 * Replaces all replicas of the engine by those of another version: the new ones
 * start, then the old ones drain one by one. The result takes it back.
 */
export async function release(
  world: World,
  target: number,
): Promise<() => Promise<void>> {
  const version = nextVersion(target);
  await replaceAll(world, {
    isReplaced: (replica) => replica.softwareVersion !== version,
    softwareVersion: version,
  });
  return () =>
    replaceAll(world, {
      isReplaced: (replica) => replica.softwareVersion === version,
      softwareVersion: FIRST_SOFTWARE_VERSION,
    });
}

/** Restarts a replica of the engine under its id at another version. */
export async function changeVersion(
  world: World,
  target: number,
): Promise<void> {
  const engine = engineReplicas(world);
  const replica = engine[target % engine.length];
  if (!replica) return;
  const softwareVersion = replica.softwareVersion === FIRST_SOFTWARE_VERSION
    ? nextVersion(target)
    : FIRST_SOFTWARE_VERSION;
  await world.restart(replica, { softwareVersion });
}

/**
 * Software versions of which the engine has two decode replicas and a prefill
 * replica that accept requests.
 */
export function servingVersions(world: World): ReadonlySet<string> {
  const serving = engineReplicas(world).filter(({ standin }) =>
    standin.limit === undefined && !standin.backoff && !standin.draining
  );
  const count = (role: ReplicaRole, version: string) =>
    serving.filter(({ standin }) =>
      standin.role === role && standin.softwareVersion === version
    ).length;
  const versions = serving.map(({ softwareVersion }) => softwareVersion);
  return new Set(
    versions.filter((version) =>
      count("decode", version) >= 2 && count("prefill", version) >= 1
    ),
  );
}

async function replaceAll(
  world: World,
  { isReplaced, softwareVersion }: {
    isReplaced(replica: WorldReplica): boolean;
    readonly softwareVersion: string;
  },
): Promise<void> {
  const replaced = engineReplicas(world).filter(isReplaced);
  for (const { standin: { role }, hall } of replaced) {
    await world.addReplica(role, hall, { softwareVersion });
  }
  await sleep(SIDE_BY_SIDE_MS);
  for (const replica of replaced) {
    // A replica that crashed meanwhile was replaced by one of its version.
    if (replica.isReady) world.retire(replica);
    await sleep(STEP_MS);
  }
}

function engineReplicas(world: World): WorldReplica[] {
  return world.readyReplicas()
    .filter(({ standin }) => standin.role !== "plain");
}

function nextVersion(target: number): string {
  const at = target % NEXT_SOFTWARE_VERSIONS.length;
  return NEXT_SOFTWARE_VERSIONS[at] ?? NEXT_SOFTWARE_VERSIONS[0];
}
