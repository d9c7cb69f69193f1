/** Faults of network paths, and what those to the replicas may cost. */
import { parseAddress } from "../../src/util/address.ts";
import type { CallResult } from "./call.ts";
import { endlessText } from "./endless_bytes.ts";
import { type FleetHost, targetHost } from "./fleet.ts";
import { BlockedDirection, type FaultProxy } from "./fault_proxy.ts";
import type { PlayedFault } from "./host_faults.ts";
import { PathCut } from "./replica_path.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";
import { PATH_CUT_KINDS, SILENT_MS } from "./schedule.ts";
import { HALLS, type World, type WorldReplica } from "./world.ts";

/** The time from the begin of a cut on after which callers are served. */
const CUT_DETECTION_MS = 3000;
/** Failed requests that a cut may cost in any case. */
const MAX_NOT_SERVED = 10;
const SLOW_MS = 150;

/** A time in which hosts had no path to any replica. */
export type PathCutInterval = {
  readonly hosts: ReadonlySet<string>;
  readonly fromMs: number;
  readonly toMs: number;
};

/** Drops the bytes of one or both directions. */
export function block(
  proxy: FaultProxy,
  direction: BlockedDirection,
): () => void {
  proxy.blocked = direction;
  return () => proxy.clearFaults();
}

/** Delays all bytes. */
export function slow(proxy: FaultProxy): () => void {
  proxy.delayMs = SLOW_MS;
  return () => proxy.clearFaults();
}

/** Resets all open connections. */
export function resetAll(proxy: FaultProxy): () => void {
  proxy.reset(() => true);
  return () => undefined;
}

/** Sends bytes without end in the place of the replica's responses. */
export function flood(
  world: World,
  { standin, proxy }: WorldReplica,
  { target }: Fault,
): () => void {
  world.disruptedReplicas.add(standin.id);
  proxy.endless = endlessText(target);
  return () => proxy.clearFaults();
}

/** Disrupts the path from all hosts to a replica. */
export function injectPathFault(
  world: World,
  { standin, proxy }: WorldReplica,
  kind: FaultKind,
): () => void {
  world.disruptedReplicas.add(standin.id);
  switch (kind) {
    case FaultKind.replicaPathBlockedOneWay:
      return block(proxy, BlockedDirection.toCaller);
    case FaultKind.replicaPathSlow:
      return slow(proxy);
    default:
      return resetAll(proxy);
  }
}

/** The hosts whose paths to the replicas a fault cuts. */
export function hostsWithCutPaths(
  hosts: readonly FleetHost[],
  fault: Fault,
): readonly FleetHost[] {
  const { kind, target } = fault;
  const isHall = kind === FaultKind.hallPathsHang ||
    kind === FaultKind.hallPathsReset;
  if (!isHall) return [targetHost(hosts, fault)];
  const hall = target % HALLS.length;
  return hosts.filter((_, at) => at % HALLS.length === hall);
}

/** Delays what the replica sends and receives; nothing is lost. */
export function silence(
  world: World,
  { standin, proxy }: WorldReplica,
): () => void {
  world.disruptedReplicas.add(standin.id);
  proxy.delayMs = SILENT_MS;
  return () => {
    proxy.delayMs = 0;
  };
}

const CUT_OF_KIND: Readonly<Partial<Record<FaultKind, PathCut>>> = {
  [FaultKind.hostPathsHang]: PathCut.hang,
  [FaultKind.hostPathsReset]: PathCut.reset,
  [FaultKind.hostPathsRefuse]: PathCut.refuse,
  [FaultKind.hallPathsHang]: PathCut.hang,
  [FaultKind.hallPathsReset]: PathCut.reset,
};

/** Cuts the paths that the fault names; the result heals them. */
export function cutPaths(
  hosts: readonly FleetHost[],
  fault: Fault,
): () => void {
  const cut = CUT_OF_KIND[fault.kind] ?? PathCut.hang;
  const cutHosts = hostsWithCutPaths(hosts, fault);
  for (const { process } of cutHosts) process.cutReplicas(cut);
  return () => {
    for (const { process } of cutHosts) process.cutReplicas(PathCut.none);
  };
}

/** Cuts the paths between a host and all others; the result heals them. */
export function cutOff(
  hosts: readonly FleetHost[],
  { process, peerProxy }: FleetHost,
): () => void {
  const heal = block(peerProxy, BlockedDirection.both);
  const others = hosts.filter((host) => host.peerProxy !== peerProxy);
  process.cutPeers(
    others.map((host) => parseAddress(host.peerProxy.address)?.port ?? 0),
  );
  return () => {
    heal();
    process.cutPeers([]);
  };
}

/** Cuts a host off from the other hosts and the store. */
export function isolate(
  hosts: readonly FleetHost[],
  host: FleetHost,
): () => void {
  const heal = cutOff(hosts, host);
  const healStore = block(host.storeProxy, BlockedDirection.both);
  return () => {
    healStore();
    heal();
  };
}

/** When which hosts had no path. */
export function pathCutIntervals(
  hosts: readonly FleetHost[],
  played: readonly PlayedFault[],
): PathCutInterval[] {
  return played
    .filter(({ fault }) => PATH_CUT_KINDS.includes(fault.kind))
    .map(({ fault, fromMs, toMs }) => ({
      hosts: new Set(
        hostsWithCutPaths(hosts, fault).map(({ process }) => process.name),
      ),
      fromMs,
      toMs,
    }));
}

/** Errors for which the replicas' own limits or load are the reason. */
const LOAD_ERRORS = ["limited", "busy", "backing_off"];

/** Whether replicas had no room for the request, whichever host it came to. */
function isRefusedByLoad({ status, body }: CallResult): boolean {
  return status === 503 &&
    LOAD_ERRORS.some((error) => body.includes(`"error":"${error}"`));
}

/**
 * Cuts after which the callers of the cut hosts were served less than two
 * thirds as often as those of other hosts, as texts.
 */
export function findUnservedCuts(
  calls: readonly CallResult[],
  pathCuts: readonly PathCutInterval[],
): string[] {
  const shareOf = (results: readonly CallResult[]) =>
    results.filter(({ status }) => status === 200).length / results.length;
  return pathCuts.flatMap(({ hosts, fromMs, toMs }) => {
    const during = calls.filter((call) =>
      !call.isAborted && !isRefusedByLoad(call) &&
      call.sentAtMs >= fromMs + CUT_DETECTION_MS &&
      call.endedAtMs < toMs
    );
    const atCut = during.filter((call) => hosts.has(call.host));
    const atOthers = during.filter((call) =>
      pathCuts.every((cut) => !cut.hosts.has(call.host))
    );
    const notServed = atCut.filter(({ status }) => status !== 200).length;
    const isFew = notServed <= MAX_NOT_SERVED + atCut.length / 50;
    if (isFew || atOthers.length === 0) return [];
    if (shareOf(atCut) >= shareOf(atOthers) * 2 / 3) return [];
    return [`${notServed} of ${atCut.length} failed`];
  });
}
