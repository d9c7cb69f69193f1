/** What replicas of a test share and record. */
import type { CutResponse } from "./response_standin.ts";

/** A request that a replica received. */
export type ReplicaArrival = {
  readonly request: string;
  readonly replica: string;
  /** Distinguishes the starts of all replicas. */
  readonly start: number;
  readonly atMs: number;
  /** Whether it started to run; a prefill doesn't count as a run. */
  readonly ran: boolean;
  /** The first event to send. */
  readonly fromEvent: number;
  /** Whether its response marked the replica as draining. */
  readonly reportedDraining: boolean;
  /** The `Retry-After` header with which it was rejected, if it was. */
  readonly backoff?: string;
  /** When its run ended, whole or not; absent if it goes on or never began. */
  endedAtMs?: number;
};

/** A violation that a replica detected. */
export type ReplicaFault = { readonly what: string; readonly request: string };

/** State shared by all replicas of a test. */
export type ReplicaWorld = {
  readonly arrivals: ReplicaArrival[];
  readonly faults: ReplicaFault[];
  /** Exports of finished prefills by "address/handle". */
  readonly exports: Map<string, { request: string; expiresAt: number }>;
  /** Called when a request crashes a replica. */
  onCrash?(replica: string): void;
  /** Called when a replica has cut a response, or crashed meanwhile. */
  onCut?(response: CutResponse): void;
};
