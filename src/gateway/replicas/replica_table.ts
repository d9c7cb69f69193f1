/** The table of replicas; older listings never replace newer ones. */
import { evictOldest } from "../../util/evict_oldest.ts";
import { eraOf, type Position } from "../position.ts";
import { ListingHistory } from "./listing_history.ts";
import type {
  ListingChanges,
  ListingDelta,
  ReplicaEntry,
  ReplicaListing,
} from "./model.ts";
import { Replica } from "./replica.ts";

/** Maximum number of draining, and of removed, incarnations that are stored. */
const MAX_STORED = 10_000;
/** Maximum number of draining incarnations reported although not listed. */
const MAX_UNLISTED_DRAINING = 200;

/** How to adopt a listing of a store that has just recovered. */
export type AdoptOptions = {
  /**
   * Keep missing replicas that aren't draining: the listing may lack live ones.
   */
  readonly retainMissing?: boolean;
  /**
   * Exclude replicas that were removed in an earlier era, since the store may
   * have been restored from a backup. They must not get new requests.
   */
  readonly excludeRemoved?: boolean;
};

/** What a listing changed in the table. */
export type ListingChange = {
  readonly added: readonly ReplicaEntry[];
  readonly removed: readonly ReplicaEntry[];
  readonly draining: readonly ReplicaEntry[];
  /** Not listed, but retained, since the store may have lost their entries. */
  readonly retained: readonly ReplicaEntry[];
  /** Ids of replicas that are new, restarted, or whose entry has changed. */
  readonly changedIds: readonly string[];
};

const NO_CHANGE: ListingChange = {
  added: [],
  removed: [],
  draining: [],
  retained: [],
  changedIds: [],
};

/** Replicas, indexed by incarnation and by service. */
export class ReplicaTable {
  #revision: Position = -1;
  #byIncarnation = new Map<string, Replica>();
  #byService = new Map<string, Replica[]>();
  readonly #history = new ListingHistory();
  /**
   * Incarnations that were reported as draining; later listings don't undo it.
   */
  readonly #draining = new Set<string>();
  /**
   * Incarnations that are no longer listed, with the position of the removal.
   */
  readonly #removedAt = new Map<string, Position>();
  /**
   * Whether replicas were retained that the listing lacks, or listed ones excluded.
   */
  #differsFromListing = false;

  /** Position of the newest listing; -1 before the first. */
  get revision(): Position {
    return this.#revision;
  }

  /**
   * The position from which deltas can be applied; -1 when a full listing is
   * needed, since the table differs from the listing at its position.
   */
  get deltaBase(): Position {
    return this.#differsFromListing ? -1 : this.#revision;
  }

  /** Number of replicas in the table. */
  get size(): number {
    return this.#byIncarnation.size;
  }

  /** The entries of all replicas in the table. */
  entries(): ReplicaEntry[] {
    return [...this.#byIncarnation.values()].map((replica) => replica.entry);
  }

  /** Adopts a full listing; returns undefined if it is older than the table. */
  adopt(
    listing: ReplicaListing,
    { retainMissing = false, excludeRemoved = false }: AdoptOptions = {},
  ): ListingChange | undefined {
    if (listing.revision < this.#revision) return undefined;
    this.#revision = listing.revision;
    const before = this.#byIncarnation;
    const listed = this.#withoutOlderStarts(listing.entries)
      .map((entry) => this.#withDraining(entry));
    const entries = excludeRemoved
      ? listed.filter((entry) => !this.#wasRemovedInEarlierEra(entry))
      : listed;
    const change = diffListing(before, entries, retainMissing);
    this.#differsFromListing = change.retained.length > 0 ||
      entries.length < listed.length;
    this.#noteRemoved(change);
    this.#byIncarnation = new Map();
    for (const entry of [...entries, ...change.retained]) {
      const known = before.get(entry.incarnation);
      this.#byIncarnation.set(entry.incarnation, createOrUpdate(known, entry));
    }
    this.#byService = groupByService(this.#byIncarnation.values());
    const ids = new Set(this.entries().map((entry) => entry.id));
    this.#history.record(listing.revision, this.entries(), {
      changed: change.changedIds,
      removed: change.removed.map((entry) => entry.id).filter((id) =>
        !ids.has(id)
      ),
    });
    return change;
  }

  /** Returns the changes since `revision`; see {@link ListingHistory}. */
  deltaSince(revision: number): ListingDelta | undefined {
    return this.#history.deltaSince(revision);
  }

  /**
   * Applies a delta of another host. Returns "older" if this table is newer,
   * and "gap" if the delta doesn't lead to the other host's listing.
   */
  applyDelta(delta: ListingDelta): ListingChange | "older" | "gap" {
    if (delta.revision < this.#revision) return "older";
    if (delta.since > this.deltaBase) return "gap";
    if (this.#isEmptyDelta(delta)) return this.#advanceTo(delta.revision);
    const entries = this.#entriesAfter(delta);
    if (entries.length !== delta.size) return "gap";
    return this.adopt({ revision: delta.revision, entries }) ?? "older";
  }

  /** Applies changes of the store; returns undefined if they are older. */
  applyChanges(changes: ListingChanges): ListingChange | undefined {
    const { revision, changed, gone } = changes;
    if (revision < this.#revision) return undefined;
    const isEmpty = changed.length === 0 && gone.length === 0;
    if (isEmpty) return this.#advanceTo(revision);
    return this.adopt({ revision, entries: this.#entriesAfter(changes) });
  }

  /**
   * Whether a delta only advances the revision. Most writes to the store are
   * heartbeats, so this avoids comparing the full listing for each of them.
   */
  #isEmptyDelta(delta: ListingDelta): boolean {
    const { since, changed, gone, size } = delta;
    if (since < 0 || changed.length > 0 || gone.length > 0) return false;
    return size === this.#byIncarnation.size;
  }

  #advanceTo(revision: number): ListingChange {
    this.#revision = revision;
    this.#history.advance(revision);
    return NO_CHANGE;
  }

  #entriesAfter({ since, changed, gone }: ListingChanges): ReplicaEntry[] {
    const entries = new Map<string, ReplicaEntry>();
    if (since >= 0) {
      for (const entry of this.entries()) entries.set(entry.id, entry);
    }
    for (const id of gone) entries.delete(id);
    for (const entry of changed) entries.set(entry.id, entry);
    return [...entries.values()];
  }

  /**
   * Whether the entry was removed in an earlier era than that of the listing.
   */
  #wasRemovedInEarlierEra({ incarnation }: ReplicaEntry): boolean {
    const removedAt = this.#removedAt.get(incarnation);
    return removedAt !== undefined && eraOf(removedAt) < eraOf(this.#revision);
  }

  #noteRemoved({ added, removed }: ListingChange): void {
    for (const { incarnation } of added) this.#removedAt.delete(incarnation);
    for (const { incarnation } of removed) {
      this.#removedAt.set(incarnation, this.#revision);
      evictOldest(this.#removedAt, MAX_STORED);
    }
  }

  /** Replaces entries of earlier starts by the known ones of later starts. */
  #withoutOlderStarts(entries: readonly ReplicaEntry[]): ReplicaEntry[] {
    const known = new Map(this.entries().map((entry) => [entry.id, entry]));
    return entries.map((entry) => {
      const before = known.get(entry.id);
      const isOlder = (entry.born ?? 0) < (before?.born ?? 0);
      return before && isOlder ? before : entry;
    });
  }

  #withDraining(entry: ReplicaEntry): ReplicaEntry {
    const { incarnation, leaving } = entry;
    if (leaving) this.#draining.add(incarnation);
    evictOldest(this.#draining, MAX_STORED);
    const isUnchanged = leaving || !this.#draining.has(incarnation);
    return isUnchanged ? entry : { ...entry, leaving: true };
  }

  /**
   * Records draining replicas; returns those not recorded before. The entries
   * change when the next listing is adopted.
   */
  noteDraining(incarnations: readonly string[]): string[] {
    const added = incarnations.filter((incarnation) =>
      !this.#draining.has(incarnation)
    );
    for (const incarnation of added) this.#draining.add(incarnation);
    evictOldest(this.#draining, MAX_STORED);
    return added;
  }

  /**
   * Draining incarnations to report to other hosts. Includes recent ones that
   * are no longer listed, since another host may adopt an older listing.
   */
  draining(): string[] {
    const draining = [...this.#draining];
    const recent = new Set(draining.slice(-MAX_UNLISTED_DRAINING));
    return draining.filter((incarnation) =>
      recent.has(incarnation) || this.#byIncarnation.has(incarnation)
    );
  }

  /** The replica with the given incarnation, while it is in the table. */
  get(incarnation: string): Replica | undefined {
    return this.#byIncarnation.get(incarnation);
  }

  /** Whether the replica accepts new requests. */
  isOpen(replica: Replica): boolean {
    const { incarnation } = replica.entry;
    const isListed = this.#byIncarnation.get(incarnation) === replica;
    return isListed && !this.isDraining(replica.entry);
  }

  /** Replicas of a service that accept new requests. */
  openReplicasOf(service: string): Replica[] {
    const all = this.#byService.get(service) ?? [];
    return all.filter((replica) => !this.isDraining(replica.entry));
  }

  /** Whether the replica is draining, by its entry or any other report. */
  isDraining({ incarnation, leaving }: ReplicaEntry): boolean {
    return leaving || this.#draining.has(incarnation);
  }
}

function diffListing(
  before: ReadonlyMap<string, Replica>,
  entries: readonly ReplicaEntry[],
  retainMissing: boolean,
): ListingChange {
  const listed = new Set(entries.map((entry) => entry.incarnation));
  const ids = new Set(entries.map((entry) => entry.id));
  const knownOf = (entry: ReplicaEntry) => before.get(entry.incarnation)?.entry;
  const missing = [...before.values()].map((replica) => replica.entry)
    .filter((entry) => !listed.has(entry.incarnation));
  const isKept = (entry: ReplicaEntry) =>
    retainMissing && !entry.leaving && !ids.has(entry.id);
  return {
    added: entries.filter((entry) => !knownOf(entry)),
    draining: entries.filter((entry) =>
      entry.leaving && knownOf(entry)?.leaving === false
    ),
    removed: missing.filter((entry) => !isKept(entry)),
    retained: missing.filter(isKept),
    changedIds: entries.filter((entry) => !isSameEntry(entry, knownOf(entry)))
      .map((entry) => entry.id),
  };
}

function isSameEntry(
  entry: ReplicaEntry,
  other: ReplicaEntry | undefined,
): boolean {
  return other !== undefined && JSON.stringify(entry) === JSON.stringify(other);
}

function createOrUpdate(
  known: Replica | undefined,
  entry: ReplicaEntry,
): Replica {
  if (!known) return new Replica(entry);
  known.entry = entry;
  return known;
}

function groupByService(replicas: Iterable<Replica>): Map<string, Replica[]> {
  const groups = new Map<string, Replica[]>();
  for (const replica of replicas) {
    const group = groups.get(replica.entry.service);
    if (group) group.push(replica);
    else groups.set(replica.entry.service, [replica]);
  }
  return groups;
}
