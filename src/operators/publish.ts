/**
 * Publishes a settings row by compare-and-set on its revision. The same write
 * adds a change record with a unique id. When the response is lost, reading
 * that record shows whether the write took effect.
 */
import { RowKey } from "../core/mod.ts";
import type { ConditionalChange, Store, StoredRow } from "./store.ts";

/** Key prefix of change records. */
export const CHANGE_PREFIX = "changes/";
const MAX_WRITE_ATTEMPTS = 4;

/** A change of one settings row. */
export type Change = {
  /** Unique; the same for all write attempts. */
  readonly id: string;
  readonly key: string;
  /** Null removes the row. */
  readonly value: string | null;
  /** Revision that the change is based on; 0 for a new row. */
  readonly base: number;
  readonly author: string;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
  /**
   * Written in the same transaction. A guard with a revision makes the write
   * fail if its row has changed since the change was checked.
   */
  readonly guards: readonly ConditionalChange[];
};

/** Outcome of a publish. */
export type PublishOutcome =
  | {
    readonly type: "accepted";
    readonly version: number;
    /** A response was lost and the outcome was read back from the store. */
    readonly resolved: boolean;
  }
  | {
    readonly type: "conflict";
    /** The current row under the change's key; absent if it doesn't exist. */
    readonly theirs?: StoredRow;
    /** Keys of the rows whose conditions failed. */
    readonly keys: readonly string[];
  }
  /** The store did not confirm the write; look up `id` later. */
  | { readonly type: "unknown"; readonly id: string };

/** Value of a change record, stored as JSON. */
export type ChangeRecord = {
  readonly key: string;
  readonly value: string | null;
  readonly base: number;
  readonly author: string;
  readonly at: number;
};

/** Publishes a change; retries writes whose response was lost. */
export async function publish(
  store: Store,
  change: Change,
): Promise<PublishOutcome> {
  let responseLost = false;
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
    const outcome = await store.write(toConditionalChanges(change));
    if (outcome.type === "written") {
      return {
        type: "accepted",
        version: outcome.revision,
        resolved: responseLost,
      };
    }
    if (outcome.type === "conflict") {
      return await resolveConflict(store, change, outcome.keys);
    }
    responseLost = true;
  }
  return await readBack(store, change);
}

function toConditionalChanges(change: Change): ConditionalChange[] {
  const { id, key, value, base, author, at, guards } = change;
  const record: ChangeRecord = { key, value, base, author, at };
  return [
    { key, value, ifRevision: base },
    {
      key: CHANGE_PREFIX + id,
      value: JSON.stringify(record),
      ifRevision: 0,
    },
    ...guards,
  ];
}

/** A conflict on the change record means that an earlier attempt succeeded. */
async function resolveConflict(
  store: Store,
  change: Change,
  keys: readonly string[],
): Promise<PublishOutcome> {
  if (keys.includes(CHANGE_PREFIX + change.id)) {
    return await readBack(store, change);
  }
  const theirs = await readRow(store, change.key);
  return { type: "conflict", keys, ...(theirs ? { theirs } : {}) };
}

async function readBack(store: Store, change: Change): Promise<PublishOutcome> {
  try {
    const row = await readRow(store, CHANGE_PREFIX + change.id);
    if (!row) return { type: "unknown", id: change.id };
    return { type: "accepted", version: row.revision, resolved: true };
  } catch {
    return { type: "unknown", id: change.id };
  }
}

/** Reads one row; undefined when it does not exist. */
export async function readRow(
  store: Store,
  key: string,
): Promise<StoredRow | undefined> {
  const rows = await store.read(key);
  const row = rows.find((candidate) => candidate.key === key);
  return row?.value === null ? undefined : row;
}

/**
 * Key of a template's guard row. Every publish of one of its customers writes
 * this row, so that a concurrent publish of the template conflicts.
 */
export function guardKey(template: string): string {
  return `guards/${template}`;
}

/** Key of the row for an upstream's planned stop. */
export function stopKey(upstream: string): string {
  return RowKey.stop + upstream;
}
