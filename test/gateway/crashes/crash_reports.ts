/** What hosts of a simulated fleet detect of crashes. */
import { replicaEntry } from "../replica_entry.ts";
import type { FleetHost, StateFleet } from "../state/state_fleet.ts";
import { namedFingerprints } from "./named_fingerprints.ts";

/** Time in which a fleet of any size has formed. */
export const FORMED_MS = 10_000;
/** A request with the shared parts of its prompt. */
export type PromptRequest = {
  readonly request: string;
  readonly parts: readonly string[];
  /** Time from its send to the crash of its replica. */
  readonly ranMs?: number;
};

/** The host detects that a replica crashed while it ran the request. */
export function crash(
  { context: { clock, crashes } }: FleetHost,
  { request, parts, ranMs = 100 }: PromptRequest,
  replica: string,
): void {
  crashes.noteBrokenSend(replicaEntry(replica), {
    sentAt: clock.now() - ranMs,
    fingerprints: namedFingerprints(request, parts),
    endedByReplica: true,
  });
}

/** A replica sends the complete response to the request at this host. */
export function answer(
  { context: { crashes } }: FleetHost,
  { request, parts }: PromptRequest,
): void {
  crashes.noteAnswered(namedFingerprints(request, parts));
}

/** The number of hosts that refuse the request. */
export function countRefusing(
  { hosts }: { readonly hosts: readonly FleetHost[] },
  { request, parts }: PromptRequest,
): number {
  const fingerprints = namedFingerprints(request, parts);
  return hosts.filter(({ context: { crashes } }) =>
    crashes.quarantineOf(fingerprints) !== undefined
  ).length;
}

/** The host at an index, counted around the fleet. */
export function hostAt({ hosts }: StateFleet, index: number): FleetHost {
  const host = hosts[index % hosts.length];
  if (!host) throw new Error("The fleet has no hosts");
  return host;
}
