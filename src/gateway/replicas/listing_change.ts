/** What a listing changes in the table of replicas. */
import { isSameEntry, type ReplicaEntry } from "./model.ts";
import type { Replica } from "./replica.ts";

/** What a listing changed in the table. */
export type ListingChange = {
  readonly added: readonly ReplicaEntry[];
  readonly removed: readonly ReplicaEntry[];
  readonly draining: readonly ReplicaEntry[];
  /** Not listed, but retained, since the store may have lost their entries. */
  readonly retained: readonly ReplicaEntry[];
  /** Replicas that are new, restarted, or whose entry has changed. */
  readonly changed: readonly ReplicaEntry[];
};

/** The change of a listing that is the same as before. */
export const NO_CHANGE: ListingChange = {
  added: [],
  removed: [],
  draining: [],
  retained: [],
  changed: [],
};

/**
 * Compares replicas, by incarnation, with their listed entries. A replica
 * without an entry is removed, or retained with `retainMissing`.
 */
export function diffListing(
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
    changed: entries.filter((entry) => {
      const known = knownOf(entry);
      return !known || !isSameEntry(entry, known);
    }),
  };
}
