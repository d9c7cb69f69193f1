/** Whether resumed streams go on as often as new ones begin; pure functions. */
import { CallKind, type CallResult } from "./call.ts";
import type { HostFaultInterval } from "./host_faults.ts";
import { eventsOf, findLostStreams } from "./resumptions.ts";

/** Software versions that served at a time. */
export type ServingSample = {
  readonly atMs: number;
  readonly versions: ReadonlySet<string>;
};

/** The time after a fault within which a host is in touch again. */
const RECOVERY_MS = 3000;
/** The time within which all hosts know a new replica. */
const LISTING_MS = 1000;
/** The time within which a resumption is sent to a replica. */
const PLACEMENT_MS = 300;

/** What {@link findUnresumedStreams} judges. */
export type ResumedStreams = {
  readonly calls: readonly CallResult[];
  readonly hostFaults: readonly HostFaultInterval[];
  readonly servingSamples: readonly ServingSample[];
};

/**
 * Tells when resumptions at hosts without recent faults, while replicas of the
 * stream's version served, brought events less than half as often as new
 * streams did.
 */
export function findUnresumedStreams(
  { calls, hostFaults, servingSamples }: ResumedStreams,
): string[] {
  const sound = calls.filter((call) =>
    call.kind === CallKind.resumable && !hadFault(call, hostFaults)
  );
  const versions = firstVersions(calls);
  const resumed = sound.filter((call) => {
    const version = versions.get(call.resumption?.firstAttempt ?? "");
    return version !== undefined && serves(version, call, servingSamples);
  });
  const sentAtMs = resumed.map((call) => call.sentAtMs);
  const begun = sound.filter((call) =>
    !call.resumption && !call.isAborted &&
    call.sentAtMs >= Math.min(...sentAtMs) &&
    call.sentAtMs <= Math.max(...sentAtMs)
  );
  return findLostStreams(resumed, begun);
}

function hadFault(
  { host, sentAtMs, endedAtMs }: CallResult,
  hostFaults: readonly HostFaultInterval[],
): boolean {
  return hostFaults.some(({ hosts, fromMs, toMs }) =>
    hosts.has(host) && fromMs <= endedAtMs && toMs >= sentAtMs - RECOVERY_MS
  );
}

/** The software version of each attempt's first event. */
function firstVersions(
  calls: readonly CallResult[],
): ReadonlyMap<string, string> {
  return new Map(calls.flatMap((call) => {
    const [first] = eventsOf(call);
    return first ? [[call.id, first.softwareVersion] as const] : [];
  }));
}

/** Whether a version served when an attempt was sent, and shortly before. */
function serves(
  version: string,
  { sentAtMs }: CallResult,
  samples: readonly ServingSample[],
): boolean {
  const during = samples.filter(({ atMs }) =>
    atMs >= sentAtMs - LISTING_MS && atMs <= sentAtMs + PLACEMENT_MS
  );
  return during.length > 0 &&
    during.every(({ versions }) => versions.has(version));
}
