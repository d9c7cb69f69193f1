/** The planner's interface to the fleet, and its results. */
import type { Milliseconds } from "../../util/units.ts";
import type { Scheduling } from "../context.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { PlannerMessage } from "./messages.ts";

/** What a planner reads of the fleet, and the outcomes that it reports. */
export type PlannerView = {
  /** Replicas of a service that accept new work. */
  replicasOf(service: string): readonly ReplicaEntry[];
  /**
   * Memory of one decode replica of the service, in tokens; 0 for a plain
   * service.
   */
  memoryOf(service: string): number;
  /** Whether the replica failed recently and gets no new work. */
  isPaused(incarnation: string): boolean;
  /** Requests per second that a replica accepts; undefined: no limit. */
  limitOf(incarnation: string): number | undefined;
  /** Reports that a replica failed a request that it was assigned. */
  noteFailure(incarnation: string, now: Milliseconds): void;
  /** Reports that a request is assigned to a replica. */
  noteTrial(incarnation: string, now: Milliseconds): void;
  /** Reports that a replica completed a prefill or a request. */
  noteSuccess(incarnation: string): void;
  /** In [0, 1). */
  random(): number;
  /** Cost of a replica in another hall, as a share of a replica's memory. */
  readonly remoteHallPenalty: number;
  /** The optional decisions that are switched on. */
  readonly scheduling: Scheduling;
  readonly events: Pick<EventLog, "note">;
  readonly metrics: Pick<Metrics, "count">;
  /** A customer's weight in the shares of a service; 1 without weights. */
  weightOf(customer: string): number;
};

/** Utilization of a service's stages: shares of replicas and of memory. */
export type StageLoad = { readonly prefill: number; readonly decode: number };

/** A message to send to a host. */
export type PlannerAnswer = {
  readonly to: string;
  readonly message: PlannerMessage;
};
