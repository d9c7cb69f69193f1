/** Strikes a fault, and takes it back when its time is over. */
import type { FleetHost } from "./fleet.ts";
import type { GatewayProcess } from "./gateway_process.ts";
import { type FaultProxy, Silence } from "./fault_proxy.ts";
import { type Fault, FaultKind } from "./schedule.ts";
import { StoreMode } from "../platform/store_standin.ts";
import type { World, WorldReplica } from "./world.ts";

/** What faults can strike. */
export type Struck = {
  readonly world: World;
  readonly hosts: readonly FleetHost[];
};

const SLOW_MS = 150;
const STORE_SLOW_MS = 500;
/** Entries that lapsed are back so long after the store is. */
const RETURN_MS = 1200;
/** More than the writes of a whole run. */
const LOST_WRITES = 1000;
/** A store that comes back from a copy is away for so long before. */
const AWAY_MS = 700;
/** What limited replicas say: rates, nothing at all, and no numbers. */
const LIMITS = ["1.4", "0.3", "3", "10", "0", "1,4", "abc", "6.5"];
/** What replicas ask for: seconds, nothing at all, and no numbers. */
const PAUSES = ["2.5", "1", "4", "0.3", "0", "-3", "abc", "", "1e999", "2"];
/** In one of so many cases a replica takes every other request. */
const PARTIAL_ONE_IN = 3;
/** A process that ended starts again after this time. */
const RESTART_MS = 400;

/** Resolves when the fault is over. */
export async function strike(struck: Struck, fault: Fault): Promise<void> {
  const undo = await begin(struck, fault);
  await pause(fault.forMs);
  await undo();
}

type Undo = () => void | Promise<void>;

const NOTHING: Undo = () => undefined;

function begin(struck: Struck, fault: Fault): Undo | Promise<Undo> {
  const { world, hosts } = struck;
  const host = hosts[fault.target % hosts.length];
  const ready = world.ready();
  const replica = ready[fault.target % ready.length];
  if (!host || !replica) return NOTHING;
  switch (fault.kind) {
    case FaultKind.kill:
    case FaultKind.stop:
    case FaultKind.pause:
    case FaultKind.reload:
      return strikeProcess(host, fault.kind);
    case FaultKind.storeDown:
    case FaultKind.storeSilent:
    case FaultKind.storeSlow:
    case FaultKind.storeLost:
    case FaultKind.storeForgets:
    case FaultKind.storeLapse:
      return strikeStore(world, fault.kind);
    case FaultKind.storePathSilent:
      return silence(host.storePath, Silence.both);
    case FaultKind.storePathOneWay:
      return silence(host.storePath, Silence.toCaller);
    case FaultKind.storePathReset:
      return resetAll(host.storePath);
    case FaultKind.peerPathSilent:
      return silence(host.peerPath, Silence.both);
    case FaultKind.peerPathSlow:
      return slow(host.peerPath);
    case FaultKind.peerPathReset:
      return resetAll(host.peerPath);
    case FaultKind.replicaPathSilent:
    case FaultKind.replicaPathSlow:
    case FaultKind.replicaPathReset:
      return strikePath(world, replica, fault.kind);
    case FaultKind.replicaCrash:
    case FaultKind.replicaLeave:
    case FaultKind.replicaRestart:
      return strikeReplica(world, replica, fault.kind);
    case FaultKind.foreignRows:
      world.writeForeignRows();
      return NOTHING;
    case FaultKind.config:
      world.changeConfig();
      return NOTHING;
    case FaultKind.replicaLimit:
      return limit(world, [replica], fault);
    case FaultKind.serviceLimit:
      return limit(
        world,
        ready.filter((one) => one.standin.role === replica.standin.role),
        fault,
      );
    case FaultKind.hallLimit:
      return limit(
        world,
        ready.filter((one) => one.hall === replica.hall),
        fault,
      );
    case FaultKind.replicaLeaveTold:
      return world.leaveByAnswer(replica);
    case FaultKind.replicaBackoff:
      return backOff([replica], fault);
    case FaultKind.serviceBackoff:
      return backOff(
        ready.filter((one) => one.standin.role === replica.standin.role),
        fault,
      );
    case FaultKind.hallBackoff:
      return backOff(ready.filter((one) => one.hall === replica.hall), fault);
    case FaultKind.storeRestored:
      return restoreStore(world, fault, { isAway: false });
    case FaultKind.storeRestoredAway:
      return restoreStore(world, fault, { isAway: true });
  }
}

function strikeProcess(
  { process }: FleetHost,
  kind: "kill" | "stop" | "pause" | "reload",
): Undo {
  switch (kind) {
    case FaultKind.reload:
      process.reload();
      return NOTHING;
    case FaultKind.pause:
      process.pause();
      return () => process.resume();
    case FaultKind.kill:
      return startAfter(process, process.kill());
    case FaultKind.stop:
      return startAfter(process, process.stop());
  }
}

function startAfter(process: GatewayProcess, ended: Promise<void>): Undo {
  return async () => {
    await ended;
    await pause(RESTART_MS);
    process.start();
  };
}

function strikeStore(world: World, kind: FaultKind): Undo {
  const { store } = world;
  const back = () => {
    store.mode = StoreMode.up;
    store.delayMs = 0;
  };
  switch (kind) {
    case FaultKind.storeDown:
      store.mode = StoreMode.down;
      return back;
    case FaultKind.storeSilent:
      store.mode = StoreMode.silent;
      return back;
    case FaultKind.storeLost:
      store.mode = StoreMode.lost;
      return back;
    case FaultKind.storeSlow:
      store.delayMs = STORE_SLOW_MS;
      return back;
    case FaultKind.storeForgets:
      store.loseHistory();
      return NOTHING;
    default:
      store.mode = StoreMode.down;
      world.lapse();
      return async () => {
        back();
        await pause(RETURN_MS);
        for (const one of world.ready()) world.list(one);
      };
  }
}

/**
 * What the store keeps now it comes back with when the fault is over. At that
 * moment a replica says that it leaves.
 */
function restoreStore(
  world: World,
  fault: Fault,
  { isAway }: { readonly isAway: boolean },
): Undo {
  const { store } = world;
  const copy = store.copy();
  // Without them the counter soon passes the old place.
  if (isAway) store.pass(LOST_WRITES);
  return async () => {
    if (isAway) {
      store.mode = StoreMode.down;
      await pause(AWAY_MS);
      store.mode = StoreMode.up;
    }
    store.restore(copy);
    const [leaver] = world.ready().slice(fault.target % world.ready().length);
    if (leaver) await world.leave(leaver);
    await pause(RETURN_MS);
    world.writeAgain();
    // Hosts that went deaf would hear of none: all must come to this version.
    world.changeConfig();
  };
}

function strikePath(
  world: World,
  { standin, proxy }: WorldReplica,
  kind: FaultKind,
): Undo {
  world.unheard.add(standin.id);
  switch (kind) {
    case FaultKind.replicaPathSilent:
      return silence(proxy, Silence.toCaller);
    case FaultKind.replicaPathSlow:
      return slow(proxy);
    default:
      return resetAll(proxy);
  }
}

async function strikeReplica(
  world: World,
  replica: WorldReplica,
  kind: FaultKind,
): Promise<Undo> {
  if (kind === FaultKind.replicaCrash) await world.crash(replica);
  else if (kind === FaultKind.replicaRestart) await world.restart(replica);
  else await world.leave(replica);
  return NOTHING;
}

function limit(
  world: World,
  replicas: readonly WorldReplica[],
  { target }: Fault,
): Undo {
  const text = LIMITS[target % LIMITS.length] ?? "1";
  const undos = replicas.map((one) => world.limit(one, text));
  return () => {
    for (const undo of undos) undo();
  };
}

function backOff(replicas: readonly WorldReplica[], { target }: Fault): Undo {
  const backoff = {
    text: PAUSES[target % PAUSES.length] ?? "1",
    isPartial: target % PARTIAL_ONE_IN === 0,
  };
  for (const { standin } of replicas) standin.backoff = backoff;
  return () => {
    for (const { standin } of replicas) {
      if (standin.backoff === backoff) standin.backoff = undefined;
    }
  };
}

function silence(proxy: FaultProxy, way: Silence): Undo {
  proxy.silence = way;
  return () => proxy.heal();
}

function slow(proxy: FaultProxy): Undo {
  proxy.delayMs = SLOW_MS;
  return () => proxy.heal();
}

function resetAll(proxy: FaultProxy): Undo {
  proxy.reset(() => true);
  return NOTHING;
}

/** Resolves after a time. */
export function pause(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}
