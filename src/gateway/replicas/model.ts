/** Replicas of services as the platform lists them. */
import type { Milliseconds } from "../../util/units.ts";
import type { Position } from "../position.ts";

/** What a model engine does for the system. */
export const ReplicaStage = {
  prefill: "prefill",
  decode: "decode",
} as const;
/** One of the values of {@link ReplicaStage}. */
export type ReplicaStage = typeof ReplicaStage[keyof typeof ReplicaStage];

/** One replica, from one start to its end. */
export type ReplicaEntry = {
  /** Names the replica; it may start again under it. */
  readonly id: string;
  /** Tells its starts apart, in the order of their numbers; not a clock. */
  readonly born?: number;
  /** Names this start of the replica; see {@link incarnationOf}. */
  readonly incarnation: string;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly hall: string;
  readonly slots: number;
  /** It takes no new work. */
  readonly leaving: boolean;
  readonly stage?: ReplicaStage;
  /** How much longer it is slow, from its start. */
  readonly coldMs: Milliseconds;
};

/**
 * Names one start of a replica. What is known of a replica goes by it, so that
 * nothing of an earlier start is taken for the later one's.
 */
export function incarnationOf(id: string, born: number | undefined): string {
  return born === undefined ? id : `${id}@${born}`;
}

/** All replicas as of one place in the store's history. */
export type ReplicaListing = {
  readonly revision: Position;
  readonly entries: readonly ReplicaEntry[];
};

/** What the store changed in the listing after a place. */
export type ListingChanges = {
  /** The place that they follow on. */
  readonly since: Position;
  readonly revision: Position;
  readonly changed: readonly ReplicaEntry[];
  /** Ids that are listed no more. */
  readonly gone: readonly string[];
};

/** What a host lacks of another's listing. */
export type ListingDelta = ListingChanges & {
  /** -1: `changed` is the whole listing. */
  readonly since: Position;
  /** Replicas listed at `revision`. */
  readonly size: number;
};
