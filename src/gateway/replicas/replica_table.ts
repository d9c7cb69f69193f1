/** The table of replicas; older listings never replace newer ones. */
import { eraOf, type Position } from "../position.ts";
import { DrainingIncarnations } from "./draining_incarnations.ts";
import {
  diffListing,
  type ListingChange,
  NO_CHANGE,
} from "./listing_change.ts";
import { leadsToSender } from "./listing_check.ts";
import { bucketOf, differingBuckets, digestsOf } from "./listing_digest.ts";
import { ListingHistory } from "./listing_history.ts";
import type {
  ListingChanges,
  ListingComparison,
  ListingDelta,
  ReplicaEntry,
  ReplicaListing,
} from "./model.ts";
import { RemovedReplicas } from "./removed_replicas.ts";
import type { Replica } from "./replica.ts";
import { ReplicaIndex } from "./replica_index.ts";

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

/** The listed replicas, and what is known of them apart from the listing. */
export class ReplicaTable {
  #revision: Position = -1;
  readonly #index = new ReplicaIndex();
  readonly #history = new ListingHistory(this.#index);
  readonly #draining = new DrainingIncarnations();
  readonly #removed = new RemovedReplicas();
  /** False: replicas were retained that the listing lacks, or listed ones excluded. */
  #isExact = true;
  /** False: a delta was applied whose sender may have retained replicas. */
  #isVerified = true;
  /** Incarnations that were retained by this host or those it heard of. */
  #retained: ReadonlySet<string> = new Set();

  /** Increases with each change of an entry. */
  #changeCount = 0;
  /** Digests of the entries after so many changes. */
  #digests: ListingComparison | undefined;

  /** Position of the newest listing; -1 before the first. */
  get revision(): Position {
    return this.#revision;
  }

  /**
   * Whether the table is the store's listing at its position. Only then is it a
   * base for changes, or may followers apply it as the store's.
   */
  get isExact(): boolean {
    return this.#isExact;
  }

  /**
   * Whether the table is exact and known to be so. If not known, it is a base for
   * deltas of other hosts, but not for reading the store on behalf of others.
   */
  get isVerified(): boolean {
    return this.#isExact && this.#isVerified;
  }

  /**
   * The position from which deltas can be applied; -1 when a full listing is
   * needed, since the table differs from the listing at its position.
   */
  get deltaBase(): Position {
    return this.isExact ? this.#revision : -1;
  }

  /** Number of replicas in the table. */
  get size(): number {
    return this.#index.size;
  }

  /** Digest of the entries; see listing_digest. */
  get digest(): number {
    return this.#index.digest;
  }

  /** The full listing that this table stands for, for another host. */
  listing(): ReplicaListing {
    return {
      revision: this.#revision,
      entries: this.entries(),
      ...(this.isVerified
        ? {}
        : { isInexact: true, retained: [...this.#retained] }),
    };
  }

  /** The entries of all replicas in the table. */
  entries(): ReplicaEntry[] {
    return this.#index.entries();
  }

  /**
   * Adopts a full listing; returns undefined if it is older than the table, or
   * is less exact at the same position.
   */
  adopt(
    listing: ReplicaListing,
    { retainMissing = false, excludeRemoved = false }: AdoptOptions = {},
  ): ListingChange | undefined {
    if (listing.revision < this.#revision) return undefined;
    const isSame = listing.revision === this.#revision;
    if (isSame && listing.isInexact && this.isExact) return undefined;
    const hasDoubts = retainMissing || excludeRemoved;
    const unlisted = this.#unlistedStarts(listing);
    const replaced = new Set(hasDoubts ? [] : unlisted.map(({ id }) => id));
    const keptStarts = hasDoubts ? unlisted : [];
    this.#revision = listing.revision;
    const retainedBySender = new Set(listing.retained);
    const listed = listing.entries
      .map((entry) => this.#withKnown(entry, replaced.has(entry.id)))
      // This host knows that the store has removed it.
      .filter(({ incarnation }) =>
        !retainedBySender.has(incarnation) || !this.#removed.has(incarnation)
      );
    const entries = excludeRemoved
      ? listed.filter(({ incarnation }) =>
        !this.#removed.hasFromEarlierEra(incarnation, this.#revision)
      )
      : listed;
    const { byIncarnation } = this.#index;
    const change = diffListing(byIncarnation, entries, retainMissing);
    const retained = [...change.retained, ...keptStarts];
    this.#isVerified = true;
    this.#isExact = listing.isInexact !== true &&
      retained.length === 0 && entries.length === listed.length;
    this.#retained = new Set([
      ...retainedBySender,
      ...retained.map((entry) => entry.incarnation),
    ]);
    this.#apply(change);
    return change;
  }

  #apply(change: ListingChange): void {
    this.#changeCount += 1;
    this.#removed.note(change, this.#revision);
    for (const { id } of change.removed) this.#index.delete(id);
    for (const entry of change.changed) this.#index.put(entry);
    this.#draining.clearUnmarked();
    const ids = [...change.changed, ...change.removed].map(({ id }) => id);
    this.#history.record(this.#revision, ids);
  }

  /**
   * Returns the changes since `revision`, or undefined while the table is not
   * exact; see {@link ListingHistory}.
   */
  deltaSince(revision: number): ListingDelta | undefined {
    return this.isExact ? this.#history.deltaSince(revision) : undefined;
  }

  /** The digests of the table, for another host to compare with its own. */
  compare(): ListingComparison {
    if (this.#digests?.state !== this.#changeCount) {
      const digests = digestsOf(this.entries());
      this.#digests = { digests, state: this.#changeCount };
    }
    return this.#digests;
  }

  /**
   * Returns what another host's table lacks by its digests, or undefined while
   * this table is not exact.
   */
  deltaTo({ digests, state }: ListingComparison): ListingDelta | undefined {
    if (!this.isExact || this.#revision < 0) return undefined;
    const buckets = differingBuckets(digests, this.compare().digests);
    return {
      since: -1,
      revision: this.#revision,
      changed: this.entries().filter(({ id }) => buckets.has(bucketOf(id))),
      gone: [],
      size: this.size,
      buckets: [...buckets],
      comparedState: state,
    };
  }

  /**
   * Applies a delta of another host. Returns "older" if this table is newer,
   * and "gap" if the delta doesn't lead to the other host's listing.
   */
  applyDelta(delta: ListingDelta): ListingChange | "older" | "gap" {
    if (delta.revision < this.#revision) return "older";
    if (delta.since > this.deltaBase) return "gap";
    const change = this.#applyByKind(delta);
    if (change === "gap" || change === "older") return change;
    if (delta.isUnverified) this.#isVerified = false;
    else if (delta.digest !== undefined) this.#isVerified = true;
    return change;
  }

  #applyByKind(delta: ListingDelta): ListingChange | "older" | "gap" {
    if (delta.buckets) return this.#applyBuckets(delta, delta.buckets);
    if (!leadsToSender(this.#index, delta)) return "gap";
    if (delta.since >= 0) {
      const isOfLaterEra = eraOf(delta.revision) > eraOf(this.#revision);
      return this.#applyListed(delta, isOfLaterEra);
    }
    const { revision, changed: entries } = delta;
    return this.adopt({ revision, entries }) ?? "older";
  }

  /**
   * Applies changes of the store; returns undefined if they are older, or if the
   * table is no base for them, since it is not exact.
   */
  applyChanges(changes: ListingChanges): ListingChange | undefined {
    if (changes.revision < this.#revision || !this.isExact) return undefined;
    return this.#applyListed(changes);
  }

  /**
   * Applies changes of the listing at this table's position. Compares only the
   * replicas that they name, since each change reaches all hosts.
   */
  #applyListed(
    { revision, changed, gone }: ListingChanges,
    replacesStarts = false,
  ): ListingChange {
    this.#revision = revision;
    // Most writes to the store are heartbeats.
    if (changed.length === 0 && gone.length === 0) {
      this.#history.advance(revision);
      return NO_CHANGE;
    }
    const entries = new Map(changed.map((entry) => [entry.id, entry]));
    const ids = new Set([...gone, ...entries.keys()]);
    for (const { entry } of this.#findReplicas(this.#draining.unmarked)) {
      if (!ids.has(entry.id)) entries.set(entry.id, entry);
      ids.add(entry.id);
    }
    const before = new Map([...ids].flatMap((id) => {
      const replica = this.#index.getById(id);
      return replica ? [[replica.entry.incarnation, replica] as const] : [];
    }));
    const listed = [...entries.values()].map((entry) =>
      this.#withKnown(entry, replacesStarts)
    );
    const change = diffListing(before, listed, false);
    this.#apply(change);
    return change;
  }

  #findReplicas(incarnations: Iterable<string>): Replica[] {
    return [...incarnations].flatMap((incarnation) =>
      this.#index.get(incarnation) ?? []
    );
  }

  #applyBuckets(
    delta: ListingDelta,
    buckets: readonly number[],
  ): ListingChange | "gap" {
    const { revision, changed, comparedState } = delta;
    const replaced = new Set(buckets);
    const listed = new Set(changed.map((entry) => entry.id));
    const gone = this.entries().map((entry) => entry.id)
      .filter((id) => replaced.has(bucketOf(id)) && !listed.has(id));
    const changes = { since: this.#revision, revision, changed, gone };
    const isCurrent = comparedState === this.#changeCount;
    if (!isCurrent || !leadsToSender(this.#index, { ...delta, gone })) {
      return "gap";
    }
    this.#isExact = true;
    this.#retained = new Set();
    return this.#applyListed(changes, true);
  }

  /**
   * The full listing after a delta; undefined if the table is no base for it.
   * Inexact without a digest: peers of an earlier version send none.
   */
  listingAfter(delta: ListingDelta): ReplicaListing | undefined {
    const { since, revision, changed, gone } = delta;
    if (since > this.deltaBase || !leadsToSender(this.#index, delta)) {
      return undefined;
    }
    const known = since < 0 ? [] : this.entries();
    const entries = new Map(known.map((entry) => [entry.id, entry]));
    for (const id of gone) entries.delete(id);
    for (const entry of changed) entries.set(entry.id, entry);
    return {
      revision,
      entries: [...entries.values()],
      ...(delta.digest === undefined ? { isInexact: true } : {}),
    };
  }

  /**
   * The entry with what is known of its replica: entries of earlier starts are
   * replaced by that of the latest one, unless `replacesStart`, and draining is
   * not undone.
   */
  #withKnown(listed: ReplicaEntry, replacesStart: boolean): ReplicaEntry {
    const later = replacesStart ? undefined : this.#laterStartOf(listed);
    const entry = later ?? listed;
    const { incarnation, leaving } = entry;
    if (leaving) this.#draining.noteListed(incarnation);
    const isUnchanged = leaving || !this.#draining.has(incarnation);
    return isUnchanged ? entry : { ...entry, leaving: true };
  }

  /** The entry of a later start of the replica. */
  #laterStartOf({ id, born = 0 }: ReplicaEntry): ReplicaEntry | undefined {
    const known = this.#index.getById(id)?.entry;
    return known && born < (known.born ?? 0) ? known : undefined;
  }

  /**
   * Later starts than the listed ones that the store has lost: they are of an
   * earlier era. Within an era, an entry of an earlier start is a late write.
   */
  #unlistedStarts({ revision, entries }: ReplicaListing): ReplicaEntry[] {
    const isOfLaterEra = eraOf(revision) > eraOf(this.#revision);
    return entries.flatMap((entry) => this.#laterStartOf(entry) ?? [])
      .filter(({ incarnation }) =>
        isOfLaterEra || this.#retained.has(incarnation)
      );
  }

  /**
   * Records draining replicas; returns those not recorded before. The entries
   * change when the next listing is adopted.
   */
  noteDraining(incarnations: readonly string[]): string[] {
    return this.#draining.note(incarnations);
  }

  /**
   * Draining incarnations to report to other hosts. Includes recent ones that
   * are no longer listed, since another host may adopt an older listing.
   */
  draining(): string[] {
    return this.#draining.toReport((incarnation) =>
      this.#index.get(incarnation) !== undefined
    );
  }

  /** The replica with the given incarnation, while it is in the table. */
  get(incarnation: string): Replica | undefined {
    return this.#index.get(incarnation);
  }

  /** Whether the replica accepts new requests. */
  isOpen(replica: Replica): boolean {
    const { incarnation } = replica.entry;
    const isListed = this.#index.get(incarnation) === replica;
    return isListed && !this.isDraining(replica.entry);
  }

  /** Replicas of a service that accept new requests. */
  openReplicasOf(service: string): Replica[] {
    const all = this.#index.ofService(service);
    return all.filter((replica) => !this.isDraining(replica.entry));
  }

  /** Whether the replica is draining, by its entry or any other report. */
  isDraining({ incarnation, leaving }: ReplicaEntry): boolean {
    return leaving || this.#draining.has(incarnation);
  }
}
