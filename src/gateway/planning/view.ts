/** What a planner sees, and what it tells. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { PlannerMessage } from "./messages.ts";

/** What a planner sees of the fleet. */
export type PlannerView = {
  /** Replicas of a service that take new work. */
  replicasOf(service: string): readonly ReplicaEntry[];
  /** Memory of one decode replica of the service, in tokens. */
  memoryOf(service: string): number;
  /** A replica that fails is given nothing. */
  isPaused(incarnation: string): boolean;
  /** Requests a second that a replica takes; undefined: any number. */
  limitOf(incarnation: string): number | undefined;
  /** A host had no use of a replica that it was sent to. */
  noteFailure(incarnation: string, now: Milliseconds): void;
  /** A host is sent to a replica. */
  noteTry(incarnation: string, now: Milliseconds): void;
  /** A replica did what a host asked of it. */
  noteSuccess(incarnation: string): void;
  /** In [0, 1). */
  random(): number;
  /** What another hall counts as, as a share of a replica's memory. */
  readonly farCharge: number;
};

/** How busy a service's stages are: shares of replicas and of memory. */
export type StageLoad = { readonly prefill: number; readonly decode: number };

/** An answer on its way to a host. */
export type PlannerAnswer = {
  readonly to: string;
  readonly message: PlannerMessage;
};
