/** Changes of the replica listing, from which deltas for followers are made. */
import type { Position } from "../position.ts";
import type { ListingDelta, ReplicaEntry } from "./model.ts";

/** Maximum number of changes that are stored. */
const MAX_CHANGES = 10_000;

/** The listing at the newest recorded revision. */
type CurrentListing = {
  readonly size: number;
  entries(): readonly ReplicaEntry[];
  getById(id: string): { readonly entry: ReplicaEntry } | undefined;
};

/** A replica that was added, changed or removed. */
type RecordedChange = { readonly id: string; readonly revision: Position };

/** Records at which revisions replicas changed. */
export class ListingHistory {
  readonly #current: CurrentListing;
  /** Followers before this revision need the full listing. */
  #oldestBase: Position = -1;
  #revision: Position = -1;
  /** Oldest first. */
  readonly #changes: RecordedChange[] = [];

  constructor(current: CurrentListing) {
    this.#current = current;
  }

  /**
   * Records the ids of replicas that were added, changed or removed at a
   * revision.
   */
  record(revision: Position, ids: Iterable<string>): void {
    if (this.#revision < 0) this.#oldestBase = revision;
    else for (const id of ids) this.#changes.push({ id, revision });
    this.#revision = revision;
    this.#evictOldest();
  }

  /** Advances to a revision without changes. */
  advance(revision: Position): void {
    this.#revision = revision;
  }

  /**
   * The changes since `revision`; undefined before the first record and when
   * `revision` is newer than the table.
   */
  deltaSince(revision: Position): ListingDelta | undefined {
    if (this.#revision < 0 || revision > this.#revision) return undefined;
    const { size } = this.#current;
    if (revision < this.#oldestBase) {
      const changed = this.#current.entries();
      return { since: -1, revision: this.#revision, changed, gone: [], size };
    }
    const changed: ReplicaEntry[] = [];
    const gone: string[] = [];
    for (const id of this.#idsSince(revision)) {
      const replica = this.#current.getById(id);
      if (replica) changed.push(replica.entry);
      else gone.push(id);
    }
    return { since: revision, revision: this.#revision, changed, gone, size };
  }

  #idsSince(revision: Position): Set<string> {
    const ids = new Set<string>();
    for (let at = this.#changes.length - 1; at >= 0; at--) {
      const change = this.#changes[at];
      if (!change || change.revision <= revision) break;
      ids.add(change.id);
    }
    return ids;
  }

  /** Removes half of the changes at once, so that removals are rare. */
  #evictOldest(): void {
    if (this.#changes.length <= MAX_CHANGES) return;
    const evicted = this.#changes.splice(
      0,
      this.#changes.length - MAX_CHANGES / 2,
    );
    this.#oldestBase = evicted.at(-1)?.revision ?? this.#oldestBase;
  }
}
