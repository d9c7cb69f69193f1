/** Replicas of services, as listed by the platform. */
import type { Milliseconds } from "../../util/units.ts";
import type { Position } from "../position.ts";
import type { ListingDigests } from "./listing_digest.ts";

/** The pool of a model engine. */
export const ReplicaStage = {
  prefill: "prefill",
  decode: "decode",
} as const;
/** One of the values of {@link ReplicaStage}. */
export type ReplicaStage = typeof ReplicaStage[keyof typeof ReplicaStage];

/** One incarnation of a replica: from its start to its end. */
export type ReplicaEntry = {
  /** Identifies the replica; a restarted replica may keep its id. */
  readonly id: string;
  /** Increases with each start under the same id; not a time. */
  readonly born?: number;
  /** Identifies this start of the replica; see {@link incarnationOf}. */
  readonly incarnation: string;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly hall: string;
  readonly slots: number;
  /** The replica is draining: it accepts no new requests. */
  readonly leaving: boolean;
  readonly stage?: ReplicaStage;
  /** Duration of the slow warm-up after its start. */
  readonly coldMs: Milliseconds;
  /** Version of its software, not of its model's weights; absent: unknown. */
  readonly softwareVersion?: string;
};

/**
 * Identifies one start of a replica. State of replicas is stored by
 * incarnation, so that a restarted replica doesn't inherit that of its
 * predecessor.
 */
export function incarnationOf(id: string, born: number | undefined): string {
  return born === undefined ? id : `${id}@${born}`;
}

/** Whether two entries are equal; the order of their keys doesn't matter. */
export function isSameEntry(a: ReplicaEntry, b: ReplicaEntry): boolean {
  return a.id === b.id && a.born === b.born &&
    a.incarnation === b.incarnation && a.service === b.service &&
    a.address === b.address && a.hall === b.hall && a.slots === b.slots &&
    a.leaving === b.leaving && a.stage === b.stage && a.coldMs === b.coldMs &&
    a.softwareVersion === b.softwareVersion;
}

/** All replicas as of one position in the store's history. */
export type ReplicaListing = {
  readonly revision: Position;
  readonly entries: readonly ReplicaEntry[];
  /**
   * Whether the entries may differ from the store's at this position, since
   * another host retained or excluded some.
   */
  readonly isInexact?: boolean;
  /** Incarnations among the entries that the sender retained. */
  readonly retained?: readonly string[];
};

/** Changes of the store's listing after a position. */
export type ListingChanges = {
  /** The position that the changes are relative to. */
  readonly since: Position;
  readonly revision: Position;
  readonly changed: readonly ReplicaEntry[];
  /** Ids that are no longer listed. */
  readonly gone: readonly string[];
};

/** Changes that bring one host's listing up to date with another's. */
export type ListingDelta = ListingChanges & {
  /** -1 when `changed` is the full listing. */
  readonly since: Position;
  /** Number of replicas listed at `revision`. */
  readonly size: number;
  /**
   * Digest of the listing at `revision`; see listing_digest. Absent: checked by
   * its size only.
   */
  readonly digest?: number;
  /**
   * The sender can't tell that its listing is the store's, since a host of an
   * earlier version sent it.
   */
  readonly isUnverified?: true;
  /**
   * If present, `changed` is the listing in these buckets, and the listings
   * don't differ in the others; see listing_digest.
   */
  readonly buckets?: readonly number[];
  /** The state of the receiver's table that was compared. */
  readonly comparedState?: number;
};

/** A table that another host compares with its own. */
export type ListingComparison = {
  readonly digests: ListingDigests;
  /** Names this state of the table. */
  readonly state: number;
};
