/** What changed in the listing of replicas, to tell hosts that follow it. */
import type { ListingDelta, ReplicaEntry } from "./model.ts";

/** Replicas that are gone are told of for so many revisions of the table. */
const MOST_GONE = 1000;

/** The revisions at which replicas last changed. */
export class ListingHistory {
  /** Nothing is known of changes up to this revision. */
  #from = -1;
  #revision = -1;
  #entries: readonly ReplicaEntry[] = [];
  readonly #changedAt = new Map<string, number>();
  readonly #goneAt = new Map<string, number>();

  /** The table is at `revision` now. */
  record(
    revision: number,
    entries: readonly ReplicaEntry[],
    change: { readonly changed: readonly string[]; readonly gone: string[] },
  ): void {
    if (this.#revision < 0) this.#from = revision;
    this.#revision = revision;
    this.#entries = entries;
    for (const incarnation of change.changed) {
      this.#goneAt.delete(incarnation);
      this.#changedAt.set(incarnation, revision);
    }
    for (const incarnation of change.gone) {
      this.#changedAt.delete(incarnation);
      this.#goneAt.set(incarnation, revision);
    }
    this.#forgetOldest();
  }

  /** The table is at `revision` now; nothing in it has changed. */
  move(revision: number): void {
    this.#revision = revision;
  }

  /** What a follower at `revision` lacks; undefined when it lacks nothing. */
  after(revision: number): ListingDelta | undefined {
    if (this.#revision < 0 || revision > this.#revision) return undefined;
    const whole = revision < this.#from;
    const since = whole ? -1 : revision;
    const isNew = (at: number | undefined) => at !== undefined && at > since;
    const changed = this.#entries.filter(({ incarnation }) =>
      whole || isNew(this.#changedAt.get(incarnation))
    );
    const gone = whole
      ? []
      : [...this.#goneAt].filter(([, at]) => isNew(at)).map(([id]) => id);
    const size = this.#entries.length;
    return { since, revision: this.#revision, changed, gone, size };
  }

  #forgetOldest(): void {
    for (const [incarnation, at] of this.#goneAt) {
      if (this.#goneAt.size <= MOST_GONE) return;
      this.#goneAt.delete(incarnation);
      this.#from = Math.max(this.#from, at);
    }
  }
}
