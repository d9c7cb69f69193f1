/** The replicas that this host knows; listings never go back. */
import { forgetOldest } from "../../util/forget_oldest.ts";
import { eraOf, type Position } from "../position.ts";
import { ListingHistory } from "./listing_history.ts";
import type {
  ListingChanges,
  ListingDelta,
  ReplicaEntry,
  ReplicaListing,
} from "./model.ts";
import { Replica } from "./replica.ts";

/** Replicas that have left, or are gone, are remembered up to this number. */
const MOST_LEFT = 10_000;
/** Those that left last are told to others also when they are listed no more. */
const MOST_UNLISTED = 200;

/** What may be wrong with a listing of a store that has just come back. */
export type ListingDoubt = {
  /** It may lack live replicas: those that aren't leaving are kept. */
  readonly keepMissing?: boolean;
  /**
   * It may be of an older copy: what went in an earlier era is left out. A
   * replica whose entry went serves on for a while, and is to get no new work.
   */
  readonly leaveOutGone?: boolean;
};

/** What a listing changed. */
export type ListingChange = {
  readonly added: readonly ReplicaEntry[];
  readonly removed: readonly ReplicaEntry[];
  readonly leaving: readonly ReplicaEntry[];
  /** Not listed, but kept: the store may only have lost their entries. */
  readonly kept: readonly ReplicaEntry[];
  /** Ids of replicas that are new, started again, or whose entry is another. */
  readonly renewed: readonly string[];
};

const NO_CHANGE: ListingChange = {
  added: [],
  removed: [],
  leaving: [],
  kept: [],
  renewed: [],
};

/** Replicas by incarnation and by service. */
export class ReplicaTable {
  #revision: Position = -1;
  #byIncarnation = new Map<string, Replica>();
  #byService = new Map<string, Replica[]>();
  readonly #history = new ListingHistory();
  /** Incarnations that were leaving: they stay so, whatever comes later. */
  readonly #left = new Set<string>();
  /** Incarnations that were listed once, and where they no longer were. */
  readonly #goneAt = new Map<string, Position>();
  /** The table has replicas that the listing lacks, or the other way round. */
  #isDoubtful = false;

  /** The place of the newest listing; -1 before the first. */
  get revision(): Position {
    return this.#revision;
  }

  /**
   * The place from which changes lead on; -1: only a whole listing does, since
   * this table is not what the listing at its place says.
   */
  get base(): Position {
    return this.#isDoubtful ? -1 : this.#revision;
  }

  /** Number of replicas listed. */
  get size(): number {
    return this.#byIncarnation.size;
  }

  /** Entries as last listed. */
  entries(): ReplicaEntry[] {
    return [...this.#byIncarnation.values()].map((one) => one.entry);
  }

  /** Takes a listing unless a newer one was taken. */
  adopt(
    listing: ReplicaListing,
    { keepMissing = false, leaveOutGone = false }: ListingDoubt = {},
  ): ListingChange | undefined {
    if (listing.revision < this.#revision) return undefined;
    this.#revision = listing.revision;
    const before = this.#byIncarnation;
    const listed = this.#newestStarts(listing.entries)
      .map((one) => this.#stillLeaving(one));
    const entries = leaveOutGone
      ? listed.filter((one) => !this.#wentEarlier(one))
      : listed;
    const change = compare(before, entries, keepMissing);
    this.#isDoubtful = change.kept.length > 0 ||
      entries.length < listed.length;
    this.#noteGone(change);
    this.#byIncarnation = new Map();
    for (const entry of [...entries, ...change.kept]) {
      const known = before.get(entry.incarnation);
      this.#byIncarnation.set(entry.incarnation, renewed(known, entry));
    }
    this.#byService = groupByService(this.#byIncarnation.values());
    const ids = new Set(this.entries().map((one) => one.id));
    this.#history.record(listing.revision, this.entries(), {
      changed: change.renewed,
      gone: change.removed.map((one) => one.id).filter((id) => !ids.has(id)),
    });
    return change;
  }

  /** What a host lacks that has the listing as of `revision`. */
  after(revision: number): ListingDelta | undefined {
    return this.#history.after(revision);
  }

  /**
   * Takes what changed since a revision that this table has reached. "older":
   * this table is ahead; "gap": it does not lead to the other's listing.
   */
  follow(delta: ListingDelta): ListingChange | "older" | "gap" {
    if (delta.revision < this.#revision) return "older";
    if (delta.since > this.base) return "gap";
    if (this.#changesNothing(delta)) return this.#moveTo(delta.revision);
    const entries = this.#entriesAfter(delta);
    if (entries.length !== delta.size) return "gap";
    return this.adopt({ revision: delta.revision, entries }) ?? "older";
  }

  /** Takes what the store changed since a revision that was reached here. */
  change(changes: ListingChanges): ListingChange | undefined {
    const { revision, changed, gone } = changes;
    if (revision < this.#revision) return undefined;
    const isSame = changed.length === 0 && gone.length === 0;
    if (isSame) return this.#moveTo(revision);
    return this.adopt({ revision, entries: this.#entriesAfter(changes) });
  }

  /**
   * Each write to the store makes a new revision, most of them heartbeats: of a
   * delta without changes only the revision counts, which spares a host making
   * and comparing lists of all replicas.
   */
  #changesNothing(delta: ListingDelta): boolean {
    const { since, changed, gone, size } = delta;
    if (since < 0 || changed.length > 0 || gone.length > 0) return false;
    return size === this.#byIncarnation.size;
  }

  #moveTo(revision: number): ListingChange {
    this.#revision = revision;
    this.#history.move(revision);
    return NO_CHANGE;
  }

  #entriesAfter({ since, changed, gone }: ListingChanges): ReplicaEntry[] {
    const entries = new Map<string, ReplicaEntry>();
    if (since >= 0) {
      for (const one of this.entries()) entries.set(one.id, one);
    }
    for (const id of gone) entries.delete(id);
    for (const one of changed) entries.set(one.id, one);
    return [...entries.values()];
  }

  /** It went in an earlier era than the one of this listing. */
  #wentEarlier({ incarnation }: ReplicaEntry): boolean {
    const goneAt = this.#goneAt.get(incarnation);
    return goneAt !== undefined && eraOf(goneAt) < eraOf(this.#revision);
  }

  #noteGone({ added, removed }: ListingChange): void {
    for (const { incarnation } of added) this.#goneAt.delete(incarnation);
    for (const { incarnation } of removed) {
      this.#goneAt.set(incarnation, this.#revision);
      forgetOldest(this.#goneAt, MOST_LEFT);
    }
  }

  /** What comes late of an earlier start doesn't undo a later one. */
  #newestStarts(entries: readonly ReplicaEntry[]): ReplicaEntry[] {
    const known = new Map(this.entries().map((one) => [one.id, one]));
    return entries.map((entry) => {
      const before = known.get(entry.id);
      const isOlder = (entry.born ?? 0) < (before?.born ?? 0);
      return before && isOlder ? before : entry;
    });
  }

  #stillLeaving(entry: ReplicaEntry): ReplicaEntry {
    const { incarnation, leaving } = entry;
    if (leaving) this.#left.add(incarnation);
    forgetOldest(this.#left, MOST_LEFT);
    const known = leaving || !this.#left.has(incarnation);
    return known ? entry : { ...entry, leaving: true };
  }

  /**
   * Replicas leave, as others know; gives those that this table did
   * not know of. It holds whatever this table's listing is worth, and leaves the
   * listing as it is: what the store says of it comes as any other change.
   */
  noteLeaving(incarnations: readonly string[]): string[] {
    const news = incarnations.filter((one) => !this.#left.has(one));
    for (const one of news) this.#left.add(one);
    forgetOldest(this.#left, MOST_LEFT);
    return news;
  }

  /**
   * Replicas that leave, also such as went lately, since an older listing may
   * bring them back elsewhere.
   */
  leaving(): string[] {
    const left = [...this.#left];
    const lately = new Set(left.slice(-MOST_UNLISTED));
    return left.filter((one) =>
      lately.has(one) || this.#byIncarnation.has(one)
    );
  }

  /** The replica of that incarnation, while it is listed. */
  get(incarnation: string): Replica | undefined {
    return this.#byIncarnation.get(incarnation);
  }

  /** Whether new work may go to the replica. */
  open(replica: Replica): boolean {
    const { incarnation } = replica.entry;
    const known = this.#byIncarnation.get(incarnation) === replica;
    return known && !this.isLeaving(replica.entry);
  }

  /** Replicas of a service that may take new work. */
  openOf(service: string): Replica[] {
    const all = this.#byService.get(service) ?? [];
    return all.filter((one) => !this.isLeaving(one.entry));
  }

  /** Whether the replica leaves, as anybody has said. */
  isLeaving({ incarnation, leaving }: ReplicaEntry): boolean {
    return leaving || this.#left.has(incarnation);
  }
}

function compare(
  before: ReadonlyMap<string, Replica>,
  entries: readonly ReplicaEntry[],
  keepMissing: boolean,
): ListingChange {
  const listed = new Set(entries.map((one) => one.incarnation));
  const ids = new Set(entries.map((one) => one.id));
  const knownOf = (one: ReplicaEntry) => before.get(one.incarnation)?.entry;
  const missing = [...before.values()].map((one) => one.entry)
    .filter((one) => !listed.has(one.incarnation));
  const isKept = (one: ReplicaEntry) =>
    keepMissing && !one.leaving && !ids.has(one.id);
  return {
    added: entries.filter((one) => !knownOf(one)),
    leaving: entries.filter((one) =>
      one.leaving && knownOf(one)?.leaving === false
    ),
    removed: missing.filter((one) => !isKept(one)),
    kept: missing.filter(isKept),
    renewed: entries.filter((one) => !isSame(one, knownOf(one)))
      .map((one) => one.id),
  };
}

function isSame(one: ReplicaEntry, other: ReplicaEntry | undefined): boolean {
  return other !== undefined && JSON.stringify(one) === JSON.stringify(other);
}

function renewed(known: Replica | undefined, entry: ReplicaEntry): Replica {
  if (!known) return new Replica(entry);
  known.entry = entry;
  return known;
}

function groupByService(replicas: Iterable<Replica>): Map<string, Replica[]> {
  const groups = new Map<string, Replica[]>();
  for (const one of replicas) {
    const group = groups.get(one.entry.service);
    if (group) group.push(one);
    else groups.set(one.entry.service, [one]);
  }
  return groups;
}
