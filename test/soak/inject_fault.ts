/** Injects a fault and undoes it after its duration. */
import { type FleetHost, targetHost } from "./fleet.ts";
import { concentrateConnections } from "./crowd_faults.ts";
import { BACKOFF_TEXTS, LIMIT_TEXTS } from "./fault_values.ts";
import type { GatewayProcess } from "./gateway_process.ts";
import { BlockedDirection } from "./fault_proxy.ts";
import { injectLifecycleFault } from "./lifecycle_faults.ts";
import { writeOddRow } from "./odd_rows.ts";
import {
  block,
  cutOff,
  cutPaths,
  flood,
  injectPathFault,
  isolate,
  resetAll,
  silence,
  slow,
} from "./path_faults.ts";
import { type Fault, FaultKind, type Undo } from "./fault_kinds.ts";
import { injectStoreFault, restoreStore } from "./store_faults.ts";
import { changeVersion, release } from "./releases.ts";
import { sleep } from "./sleep.ts";
import type { StopCall } from "./stop_callers.ts";
import type { World, WorldReplica } from "./world.ts";

/** The targets of faults. */
export type FaultTargets = {
  readonly world: World;
  readonly hosts: readonly FleetHost[];
  /** Requests to hosts that are being stopped. */
  readonly stopCalls: StopCall[];
};

/** In one of this many backoffs a replica accepts every other request. */
const PARTIAL_ONE_IN = 3;
const RESTART_DELAY_MS = 400;
/** A stream of a slow replica still ends within the time-out of its route. */
const REPLICA_SLOWDOWN = 3;

/** Injects a fault and resolves when it has ended. */
export async function injectFault(
  targets: FaultTargets,
  fault: Fault,
): Promise<void> {
  const undo = await startFault(targets, fault);
  await sleep(fault.durationMs);
  await undo();
}

const NO_UNDO: Undo = () => undefined;

function startFault(targets: FaultTargets, fault: Fault): Undo | Promise<Undo> {
  const { world, hosts } = targets;
  const host = targetHost(hosts, fault);
  const ready = world.readyReplicas();
  const replica = ready[fault.target % ready.length];
  if (!replica) return NO_UNDO;
  switch (fault.kind) {
    case FaultKind.kill:
    case FaultKind.stop:
    case FaultKind.pause:
    case FaultKind.reload:
      return injectProcessFault(host, fault.kind);
    case FaultKind.reloadsDuringStarts:
    case FaultKind.stopDuringStart:
    case FaultKind.startBeforeEnd:
    case FaultKind.portTaken:
    case FaultKind.settingsTornAtStart:
    case FaultKind.settingsTorn:
    case FaultKind.stopUnderLoad:
      return injectLifecycleFault(host, fault, targets.stopCalls);
    case FaultKind.endlessBytes:
      return flood(world, replica, fault);
    case FaultKind.hotHost:
      return concentrateConnections(world, host, fault);
    case FaultKind.machineSleep:
      host.process.sleep(fault.durationMs);
      return NO_UNDO;
    case FaultKind.storeDown:
    case FaultKind.storeSilent:
    case FaultKind.storeSlow:
    case FaultKind.storeLosesResponses:
    case FaultKind.storeLosesHistory:
    case FaultKind.storeEntriesExpire:
      return injectStoreFault(world, fault.kind);
    case FaultKind.storePathBlocked:
      return block(host.storeProxy, BlockedDirection.both);
    case FaultKind.storePathBlockedOneWay:
      return block(host.storeProxy, BlockedDirection.toCaller);
    case FaultKind.storePathReset:
      return resetAll(host.storeProxy);
    case FaultKind.peerPathBlocked:
      return block(host.peerProxy, BlockedDirection.both);
    case FaultKind.peerPathSlow:
      return slow(host.peerProxy);
    case FaultKind.peerPathReset:
      return resetAll(host.peerProxy);
    case FaultKind.hostCutOff:
      return cutOff(hosts, host);
    case FaultKind.hostIsolated:
      return isolate(hosts, host);
    case FaultKind.replicaPathBlockedOneWay:
    case FaultKind.replicaPathSlow:
    case FaultKind.replicaPathReset:
      return injectPathFault(world, replica, fault.kind);
    case FaultKind.replicaCrash:
    case FaultKind.replicaDrain:
    case FaultKind.replicaRestart:
      return injectReplicaFault(world, replica, fault.kind);
    case FaultKind.foreignRows:
      world.writeForeignRows();
      return NO_UNDO;
    case FaultKind.oddRow:
      return writeOddRow(world, fault);
    case FaultKind.config:
      world.changeConfig();
      return NO_UNDO;
    case FaultKind.replicaLimit:
      return limitRequests(world, [replica], fault);
    case FaultKind.serviceLimit:
      return limitRequests(
        world,
        ready.filter((candidate) =>
          candidate.standin.role === replica.standin.role
        ),
        fault,
      );
    case FaultKind.hallLimit:
      return limitRequests(
        world,
        ready.filter((candidate) => candidate.hall === replica.hall),
        fault,
      );
    case FaultKind.replicaDrainByResponse:
      return world.drainByResponse(replica);
    case FaultKind.replicaSlow:
      return slowDown(replica);
    case FaultKind.plannerKill:
      return injectProcessFault(host, FaultKind.kill);
    case FaultKind.replicaSilent:
      return silence(world, replica);
    case FaultKind.hostPathsHang:
    case FaultKind.hostPathsReset:
    case FaultKind.hostPathsRefuse:
    case FaultKind.hallPathsHang:
    case FaultKind.hallPathsReset:
      return cutPaths(hosts, fault);
    case FaultKind.replicaBackoff:
      return requireBackoff([replica], fault);
    case FaultKind.serviceBackoff:
      return requireBackoff(
        ready.filter((candidate) =>
          candidate.standin.role === replica.standin.role
        ),
        fault,
      );
    case FaultKind.hallBackoff:
      return requireBackoff(
        ready.filter((candidate) => candidate.hall === replica.hall),
        fault,
      );
    case FaultKind.replicaCutsResponses:
      return world.shapes.cutResponses([replica.standin.id]);
    case FaultKind.serviceCutsResponses:
      return world.shapes.cutResponses(
        ready.filter(({ standin }) => standin.role === replica.standin.role)
          .map(({ standin }) => standin.id),
      );
    case FaultKind.release:
      return release(world, fault.target);
    case FaultKind.replicaChangesVersion:
      return changeVersion(world, fault.target).then(() => NO_UNDO);
    case FaultKind.storeRestored:
      return restoreStore(world, fault, { hasOutage: false });
    case FaultKind.storeRestoredAfterOutage:
      return restoreStore(world, fault, { hasOutage: true });
  }
}

function injectProcessFault(
  { process }: FleetHost,
  kind: "kill" | "stop" | "pause" | "reload",
): Undo {
  switch (kind) {
    case FaultKind.reload:
      process.reload();
      return NO_UNDO;
    case FaultKind.pause:
      process.pause();
      return () => process.resume();
    case FaultKind.kill:
      return restartAfter(process, process.kill());
    case FaultKind.stop:
      return restartAfter(process, process.stop());
  }
}

function restartAfter(process: GatewayProcess, ended: Promise<void>): Undo {
  return async () => {
    await ended;
    await sleep(RESTART_DELAY_MS);
    process.start();
  };
}

async function injectReplicaFault(
  world: World,
  replica: WorldReplica,
  kind: FaultKind,
): Promise<Undo> {
  if (kind === FaultKind.replicaCrash) await world.crash(replica);
  else if (kind === FaultKind.replicaRestart) await world.restart(replica);
  else await world.drain(replica);
  return NO_UNDO;
}

function limitRequests(
  world: World,
  replicas: readonly WorldReplica[],
  { target }: Fault,
): Undo {
  const text = LIMIT_TEXTS[target % LIMIT_TEXTS.length] ?? "1";
  const undos = replicas.map(({ standin }) =>
    world.limits.start(standin, text)
  );
  return () => {
    for (const undo of undos) undo();
  };
}

function requireBackoff(
  replicas: readonly WorldReplica[],
  { target }: Fault,
): Undo {
  const backoff = {
    text: BACKOFF_TEXTS[target % BACKOFF_TEXTS.length] ?? "1",
    isPartial: target % PARTIAL_ONE_IN === 0,
  };
  for (const { standin } of replicas) standin.backoff = backoff;
  return () => {
    for (const { standin } of replicas) {
      if (standin.backoff === backoff) standin.backoff = undefined;
    }
  };
}

function slowDown({ standin }: WorldReplica): Undo {
  const usual = standin.slowdown;
  standin.slowdown = usual * REPLICA_SLOWDOWN;
  return () => {
    standin.slowdown = usual;
  };
}
