/**
 * How fast each replica of a service works, estimated from hosts' progress
 * reports. A planner prefers replicas that end a request sooner, and gives less
 * work to a replica that is much slower than its pool.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { Standing } from "./ejection.ts";
import type { LedgerEntry } from "./ledger.ts";
import type { PlanProgress } from "./messages.ts";

/** The request that a replica is considered for. */
export type RatedRequest = {
  /** The host that sent it, and its data hall. */
  readonly host: string;
  readonly hall: string;
  /** It may run more than once. */
  readonly repeatable: boolean;
  /** An earlier attempt failed, or its caller has a part of the response. */
  readonly begun: boolean;
};

/** Estimates of one planner, by incarnation. */
export type ReplicaRates = {
  /**
   * Speed compared with the median of its pool: 2 does the same work in half
   * the time; 1 if unknown. Prefills and decodes both count, so that a replica
   * whose stage changes keeps its estimate.
   */
  speedOf(incarnation: string): number;
  /** Expected time from the first event to the end of a run. */
  runMs(incarnation: string, outputTokens: number): Milliseconds;
  /** Expected time from the send to the decode replica to its first event. */
  firstEventMs(incarnation: string): Milliseconds;
  /** Expected service time of a plain request in a free slot. */
  callMs(incarnation: string): Milliseconds;
  /**
   * Whether the replica gets little or no work, since it fails, is silent or is
   * far too slow.
   */
  isEjected(incarnation: string, now: Milliseconds): boolean;
  /** Replicas of a service whose standing may not be open. */
  suspects(service: string, now: Milliseconds): ReadonlySet<string>;
  /** What the replica may be given of a request. */
  standing(
    replica: ReplicaEntry,
    request: RatedRequest,
    now: Milliseconds,
  ): Standing;
  /** Whether a request to the replica broke off lately. */
  hasBroken(incarnation: string, now: Milliseconds): boolean;
  /** Records that a request was assigned. */
  noteGrant(entry: LedgerEntry, now: Milliseconds): void;
  /** Records that the assigned prefill replica failed a prefill. */
  notePrefillFailed(entry: LedgerEntry, now: Milliseconds): void;
  /** Records the duration of a prefill. */
  notePrefill(
    entry: LedgerEntry,
    spentMs: Milliseconds,
    now: Milliseconds,
  ): void;
  /** Records the first event of a run, or how far it has come. */
  noteProgress(
    entry: LedgerEntry,
    report: PlanProgress,
    now: Milliseconds,
  ): void;
  /** Records how an assignment ended. */
  noteEnd(entry: LedgerEntry, report: PlanProgress, now: Milliseconds): void;
};

/** Time from one event of a run to the next, until it is known. */
export const INITIAL_EVENT_MS = 25;
/** Time from a send to a decode replica to the first event, until known. */
export const INITIAL_FIRST_EVENT_MS = 100;
/** Service time of a plain request, until one is known. */
export const INITIAL_CALL_MS = 50;

const NO_SUSPECTS: ReadonlySet<string> = new Set();

/** Takes all replicas for equal. */
export const EQUAL_RATES: ReplicaRates = {
  speedOf: () => 1,
  runMs: (_, outputTokens) => outputTokens * INITIAL_EVENT_MS,
  firstEventMs: () => INITIAL_FIRST_EVENT_MS,
  callMs: () => INITIAL_CALL_MS,
  isEjected: () => false,
  suspects: () => NO_SUSPECTS,
  standing: () => Standing.open,
  hasBroken: () => false,
  noteGrant: () => undefined,
  notePrefillFailed: () => undefined,
  notePrefill: () => undefined,
  noteProgress: () => undefined,
  noteEnd: () => undefined,
};
