/** Checks that processes end and use memory only as they may; pure functions. */
import type { ReplicaArrival } from "../platform/replica_world.ts";
import type { Exit } from "./gateway_process.ts";
import { FaultKind } from "./fault_kinds.ts";
import type { PlayedFault } from "./host_faults.ts";
import type { HostMemory } from "./peak_memory.ts";
import type { StopCall } from "./stop_callers.ts";

/** How a process of a host exited. */
export type HostExit = Exit & { readonly host: string };

/** A response that is lost later than this was not refused unread. */
const LOSS_SLACK_MS = 1000;
/** From the last fault until requests must not be interrupted any more. */
const CALM_MS = 3000;
const ERROR_EVENT = '"event":"unexpectedError"';
/** Faults that interrupt no request. */
const PLANNED_KINDS: readonly FaultKind[] = [
  FaultKind.stopUnderLoad,
  FaultKind.reload,
  FaultKind.config,
];

/** Whether a SIGHUP ended Node.js before the program had begun. */
export function isEarlyHangup({ signal, hasBegun }: Exit): boolean {
  return signal === "SIGHUP" && !hasBegun;
}

/** Says how many processes ended before their program had begun. */
export function formatEarlyHangups(count: number): string {
  return `SIGHUP ended ${count} before their first line`;
}

/** Exits that the test did not request and that the program could prevent. */
export function findOwnEnds(exits: readonly HostExit[]): string[] {
  return exits.filter((exit) => !exit.isRequested && !isEarlyHangup(exit))
    .map((exit) => `${exit.host}: code ${exit.code}, signal ${exit.signal}`);
}

/** Errors in a host's log for which the program has no handling. */
export function findUnexpectedErrors(
  logs: ReadonlyMap<string, readonly string[]>,
): string[] {
  return [...logs].flatMap(([host, lines]) =>
    lines.filter((line) => line.includes(ERROR_EVENT))
      .map((line) => `${host}: ${line}`)
  );
}

/** Hosts that used more memory than their setting allows. */
export function findMemoryExcess(memory: readonly HostMemory[]): string[] {
  return memory.filter(({ peakMb, limitMb }) => peakMb > limitMb)
    .map(({ host, peakMb, limitMb }) =>
      `${host}: ${Math.round(peakMb)} of ${limitMb} MB`
    );
}

/**
 * Requests that a stopping host has read as a whole and did not answer, while
 * no other fault interrupted requests.
 */
export function findUnansweredAtStops(
  calls: readonly StopCall[],
  { played, arrivals }: {
    readonly played: readonly PlayedFault[];
    readonly arrivals: readonly ReplicaArrival[];
  },
): string[] {
  const disruptions = played.filter(({ fault }) =>
    !PLANNED_KINDS.includes(fault.kind)
  );
  const isCalm = (fromMs: number, toMs: number) =>
    disruptions.every((one) =>
      one.toMs + CALM_MS < fromMs || one.fromMs > toMs
    );
  const arrived = new Set(arrivals.map(({ request }) => request));
  return calls.filter(({ id, sentAtMs, endedAtMs, isComplete }) =>
    !isComplete && sentAtMs !== undefined && isCalm(sentAtMs, endedAtMs) &&
    (arrived.has(id) || endedAtMs - sentAtMs > LOSS_SLACK_MS)
  ).map(({ id, status }) => `${id}, status ${status}`);
}
