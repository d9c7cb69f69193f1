/** Types for choosing the replica that a request is sent to. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayError } from "../answers.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type { EventFields } from "../observe/event_log.ts";
import type { CallMetadata } from "../port.ts";
import type { PlainAdvice, RunSummary } from "../planning/assignment.ts";
import type { RequiredVersion } from "../replicas/required_version.ts";
import type { Replica } from "../replicas/replica.ts";
import type { Export } from "./prefill.ts";

/** A replica for one send, with the resources acquired there. */
export type Placement = {
  readonly replica: Replica;
  /** Permits one send to the replica. */
  readonly permit: SendPermit;
  /** Memory reserved at the replica, in tokens; 0 at a plain service. */
  readonly tokens: number;
  readonly export?: Export;
  /** Time spent waiting for memory. */
  readonly waitMs?: Milliseconds;
  /** Time that the prefill took. */
  readonly prefillMs?: Milliseconds;
  readonly headers: CallMetadata;
  /** What the planner knows of a plain call; empty without its answer. */
  readonly advice?: PlainAdvice;
};

/** Why a request could not be placed, and when to retry if that is known. */
export type PlacementRefusal = {
  readonly error: GatewayError;
  readonly retryAfterMs?: Milliseconds;
  /** What the decision was based on, for the log. */
  readonly basis?: EventFields;
};

/** Why the replica did not serve the request. */
export type PlacementFailure = {
  /** The replica responded that it did not run the request. */
  readonly rejected: boolean;
  /** The replica requested a backoff, which hides other causes. */
  readonly isBackoff: boolean;
  /**
   * This host's own network path failed, which says nothing about the replica.
   */
  readonly isLocal: boolean;
  /** The replica responded with an error status. */
  readonly isError?: true;
};

/** How earlier sends of a request restrict its placement. */
export type PlacementConstraints = {
  /** Incarnations that must not be tried again. */
  readonly excluded: ReadonlySet<string>;
  /** An earlier send may have run, or the caller has part of the response. */
  readonly mayHaveRun: boolean;
  /** The last send ended with an error response. */
  readonly afterError?: boolean;
  /**
   * Another send is in progress: the planner alone decides whether and where
   * there is a second one.
   */
  readonly isSecond?: boolean;
  /**
   * The software version of the replica that writes the response; absent: any
   * will do.
   */
  readonly requiredVersion?: RequiredVersion | undefined;
};

/** Places one request, once for each send. */
export type Placer = {
  /** Places the request at a replica that is not excluded. */
  place(
    constraints: PlacementConstraints,
  ): Promise<Placement | PlacementRefusal>;
  /** Releases the last placement, which was not used. */
  release(): void;
  /** Reports that the last placement's replica did not serve the request. */
  failed(failure: PlacementFailure): void;
  /** Records that the replica consumed the reservation and the export. */
  consumed(): void;
  /** Identifies the current assignment to its planner. */
  readonly assignmentId: string | undefined;
  /** Reports that the replica has finished the request. */
  completed(run?: RunSummary): void;
  /**
   * Reports that another attempt was answered first, `runMs` after the send of
   * this one.
   */
  overtaken(runMs: Milliseconds): void;
  /** Cancels all waits and releases all resources when the request ends. */
  end(): void;
};
