/** Where one send of a request goes. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayError } from "../answers.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type { EventFields } from "../observe/event_log.ts";
import type { CallHead } from "../port.ts";
import type { Replica } from "../replicas/replica.ts";
import type { Export } from "./prefill.ts";

/** A place for one send. */
export type Placement = {
  readonly replica: Replica;
  /** The replica takes one more request. */
  readonly permit: SendPermit;
  /** Memory that it takes there, in tokens; 0 at a plain service. */
  readonly tokens: number;
  readonly export?: Export;
  /** Time that was waited for memory, and that the prefill took. */
  readonly waitMs?: Milliseconds;
  readonly prefillMs?: Milliseconds;
  readonly head: CallHead;
};

/** Why there is no place, and when to come back where that is known. */
export type PlaceRefusal = {
  readonly error: GatewayError;
  readonly retryAfterMs?: Milliseconds;
  /** What it was decided on, for the log. */
  readonly basis?: EventFields;
};

/** Why the replica of a place did not serve. */
export type PlaceFailure = {
  /** It answered that it did not run the request. */
  readonly turnedAway: boolean;
  /** It asks this host for a pause: what else it lacks isn't known. */
  readonly isBackoff: boolean;
};

/** What is known of a request's earlier sends when it wants a place. */
export type PlaceNeed = {
  /** Replicas that are not to be tried again, by incarnation. */
  readonly excluded: ReadonlySet<string>;
  /** An earlier send may have run, or the caller has a part of the answer. */
  readonly begun: boolean;
};

/** Finds places for one request. */
export type Placer = {
  /** A place at a replica that is not excluded, or why there is none. */
  place(need: PlaceNeed): Promise<Placement | PlaceRefusal>;
  /** The last place was not used: what is held there is let go. */
  release(): void;
  /** The replica of the last place did not serve. */
  failed(failure: PlaceFailure): void;
  /** The replica of the last place took what was held for it. */
  taken(): void;
  /** The last place is free again. */
  used(): void;
  /** The request ended: all waits end, all that is held is let go. */
  end(): void;
};
