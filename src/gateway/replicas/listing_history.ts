/** Changes of the replica listing, from which deltas for followers are made. */
import type { ListingDelta, ReplicaEntry } from "./model.ts";

/** Maximum number of removed replicas that are stored. */
const MAX_REMOVED = 1000;

/** The revisions at which replicas last changed. */
export class ListingHistory {
  /** Followers before this revision need the full listing. */
  #oldestBase = -1;
  #revision = -1;
  #entries: readonly ReplicaEntry[] = [];
  readonly #changedAt = new Map<string, number>();
  readonly #removedAt = new Map<string, number>();

  /** Records the changes that led to `revision`. */
  record(
    revision: number,
    entries: readonly ReplicaEntry[],
    change: {
      /** Ids of replicas that are new, changed or restarted. */
      readonly changed: readonly string[];
      /** Ids that are no longer listed. */
      readonly removed: readonly string[];
    },
  ): void {
    if (this.#revision < 0) this.#oldestBase = revision;
    this.#revision = revision;
    this.#entries = entries;
    for (const id of change.changed) {
      this.#removedAt.delete(id);
      this.#changedAt.set(id, revision);
    }
    for (const id of change.removed) {
      this.#changedAt.delete(id);
      this.#removedAt.set(id, revision);
    }
    this.#evictOldest();
  }

  /** Advances to a revision without changes. */
  advance(revision: number): void {
    this.#revision = revision;
  }

  /**
   * The changes since `revision`; undefined before the first record and when
   * `revision` is newer than the table.
   */
  deltaSince(revision: number): ListingDelta | undefined {
    if (this.#revision < 0 || revision > this.#revision) return undefined;
    const isFull = revision < this.#oldestBase;
    const since = isFull ? -1 : revision;
    const isNew = (at: number | undefined) => at !== undefined && at > since;
    const changed = this.#entries.filter(({ id }) =>
      isFull || isNew(this.#changedAt.get(id))
    );
    const gone = isFull
      ? []
      : [...this.#removedAt].filter(([, at]) => isNew(at)).map(([id]) => id);
    const size = this.#entries.length;
    return { since, revision: this.#revision, changed, gone, size };
  }

  #evictOldest(): void {
    for (const [id, at] of this.#removedAt) {
      if (this.#removedAt.size <= MAX_REMOVED) return;
      this.#removedAt.delete(id);
      this.#oldestBase = Math.max(this.#oldestBase, at);
    }
  }
}
