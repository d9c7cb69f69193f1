/** What a planner decides about one queued request. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { PlanRefusal } from "./messages.ts";

/** The decision on one request. */
export type Outcome =
  /** The request stays in the queue. */
  | { readonly type: "wait" }
  | {
    readonly type: "assign";
    readonly decode: ReplicaEntry;
    /** Absent: the decode replica does a local prefill. */
    readonly prefill?: ReplicaEntry;
  }
  | {
    readonly type: "refuse";
    readonly reason: PlanRefusal["reason"];
    readonly retryAfterMs?: Milliseconds;
    /** All replicas limit their requests, and no limit has room. */
    readonly isLimited?: boolean;
  };

/** The request stays in the queue. */
export const WAIT: Outcome = { type: "wait" };
