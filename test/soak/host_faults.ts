/** Which hosts were affected by faults, and when. */
import { LIFECYCLE_HOST_KINDS } from "./draw_lifecycle.ts";
import { OUT_OF_STEP_KINDS } from "./draw_out_of_step.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";
import { type FleetHost, targetHost } from "./fleet.ts";
import { hostsWithCutPaths } from "./path_faults.ts";
import { PATH_CUT_KINDS } from "./schedule.ts";

/** A fault and when it was injected and undone. */
export type PlayedFault = {
  readonly fault: Fault;
  readonly fromMs: number;
  readonly toMs: number;
};

/** A time in which hosts had a fault. */
export type HostFaultInterval = {
  readonly hosts: ReadonlySet<string>;
  readonly fromMs: number;
  readonly toMs: number;
};

/** Faults of a host's process. */
export const PROCESS_FAULTS: readonly FaultKind[] = [
  FaultKind.kill,
  FaultKind.stop,
  FaultKind.pause,
  FaultKind.machineSleep,
  FaultKind.plannerKill,
  ...LIFECYCLE_HOST_KINDS,
];
/** Faults of a host's process or its network paths. */
export const HOST_FAULTS: readonly FaultKind[] = [
  ...PROCESS_FAULTS,
  FaultKind.storePathBlocked,
  FaultKind.storePathBlockedOneWay,
  FaultKind.storePathReset,
  FaultKind.peerPathBlocked,
  FaultKind.peerPathSlow,
  FaultKind.peerPathReset,
  ...OUT_OF_STEP_KINDS,
];

/** Names of the hosts that none of the faults of these kinds affects. */
export function hostsWithoutFaults(
  hosts: readonly FleetHost[],
  { faults, kinds }: {
    readonly faults: readonly Fault[];
    readonly kinds: readonly FaultKind[];
  },
): ReadonlySet<string> {
  const affected = new Set(
    faults.filter((fault) => kinds.includes(fault.kind))
      .map((fault) => targetHost(hosts, fault).process.name),
  );
  const names = hosts.map((host) => host.process.name);
  return new Set(names.filter((name) => !affected.has(name)));
}

/** When hosts had a fault of their process or their network paths. */
export function hostFaultIntervals(
  hosts: readonly FleetHost[],
  played: readonly PlayedFault[],
): HostFaultInterval[] {
  return played.map(({ fault, fromMs, toMs }) => ({
    hosts: new Set(
      hostsAffectedBy(hosts, fault).map(({ process }) => process.name),
    ),
    fromMs,
    toMs,
  }));
}

function hostsAffectedBy(
  hosts: readonly FleetHost[],
  fault: Fault,
): readonly FleetHost[] {
  if (HOST_FAULTS.includes(fault.kind)) return [targetHost(hosts, fault)];
  if (!PATH_CUT_KINDS.includes(fault.kind)) return [];
  return hostsWithCutPaths(hosts, fault);
}
