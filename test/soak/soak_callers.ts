/** The callers of a soak run. */
import { xoroshiro128plus } from "pure-rand";
import { CRASHING_BODY, CRASHING_PART } from "../platform/crashing_requests.ts";
import { CallKind, type CallResult } from "./call.ts";
import { runCaller } from "./callers.ts";
import { CRASHING_PREFIX } from "./checks.ts";
import { CRASHING_PART_PREFIX } from "./crashing_parts.ts";
import { callerHosts, type FleetHost, isInRotation } from "./fleet.ts";
import type { Schedule } from "./schedule.ts";

/** Options of {@link startCallers}. */
export type SoakCallerOptions = {
  /** The host that most new connections go to, if there is one. */
  hotHost(): string | undefined;
  readonly hosts: readonly FleetHost[];
  isStopped(): boolean;
  onResult(result: CallResult): void;
};

/** Separates the generators of resuming callers from those of the others. */
const RESUMING_SEED = 500;
const PART_CALLER_SEED = 900;
/** The first part of the prompts of all callers. */
const FIRST_PART = "f1257";
/** The pause between requests that crash their replicas. */
const CRASHING_PAUSE_MS = 500;

/** Starts the callers of a schedule; each resolves after it was stopped. */
export function startCallers(
  schedule: Schedule,
  { hosts: fleet, hotHost, isStopped, onResult }: SoakCallerOptions,
): Promise<void>[] {
  const { seed, callers, resumingCallers, hasCrashingCaller, hasPartCaller } =
    schedule;
  const byName = new Map(fleet.map((host) => [host.process.name, host]));
  const hosts = callerHosts(fleet);
  const isHostInRotation = (name: string) => {
    const host = byName.get(name);
    return host !== undefined && isInRotation(host);
  };
  const shared = {
    hosts,
    hotHost,
    isInRotation: isHostInRotation,
    isStopped,
    onResult,
    promptParts: [FIRST_PART],
  };
  const started = Array.from({ length: callers }, (_, at) =>
    runCaller({
      ...shared,
      random: xoroshiro128plus(seed * 1000 + at),
      name: `s${seed}c${at}`,
    }));
  const resuming = Array.from(
    { length: resumingCallers },
    (_, at) =>
      runCaller({
        ...shared,
        random: xoroshiro128plus(seed * 1000 + RESUMING_SEED + at),
        name: `s${seed}r${at}`,
        kinds: [CallKind.resumable],
        isResuming: true,
        isImpatient: schedule.isImpatient,
      }),
  );
  started.push(...resuming);
  if (hasPartCaller) {
    started.push(runCaller({
      ...shared,
      random: xoroshiro128plus(seed * 1000 + PART_CALLER_SEED),
      name: `${CRASHING_PART_PREFIX}-s${seed}`,
      kinds: [seed % 3 === 0 ? CallKind.resumable : CallKind.stream],
      hasOwnBodies: true,
      promptParts: [FIRST_PART, CRASHING_PART],
      pauseMs: CRASHING_PAUSE_MS,
    }));
  }
  if (!hasCrashingCaller) return started;
  const crashing = runCaller({
    ...shared,
    random: xoroshiro128plus(seed * 1000 + callers),
    name: `${CRASHING_PREFIX}-s${seed}`,
    kinds: [seed % 2 === 0 ? CallKind.stream : CallKind.resumable],
    body: CRASHING_BODY,
    pauseMs: CRASHING_PAUSE_MS,
  });
  return [...started, crashing];
}
