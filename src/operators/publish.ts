/**
 * Publishes one settings row: compare-and-set on its revision, with a change
 * row of a unique id, so that a lost answer is resolved by reading back.
 */
import { RowKey } from "../core/mod.ts";
import type { Store, StoredChange, StoredRow } from "./store.ts";

/** Prefix of the rows that record changes. */
export const CHANGE_PREFIX = "changes/";
/** Times that a lost write is tried again. */
const TRIES = 4;

/** One change of one settings row. */
export type Change = {
  /** Unique; the same for all tries. */
  readonly id: string;
  readonly key: string;
  /** Null removes the row. */
  readonly value: string | null;
  /** Revision that the change was made against; 0 for a new row. */
  readonly base: number;
  readonly author: string;
  /** Wall time in milliseconds. */
  readonly at: number;
  /** Rows that must be as they were when the change was checked. */
  readonly guards: readonly StoredChange[];
};

/** What a publish came to. */
export type Published =
  | {
    readonly type: "accepted";
    readonly version: number;
    /** An answer was lost and the outcome was read back. */
    readonly resolved: boolean;
  }
  | {
    readonly type: "conflict";
    /** The row as it is now; absent: another row stood in the way. */
    readonly theirs?: StoredRow;
    readonly keys: readonly string[];
  }
  /** It can't be told now; `id` can be looked up later. */
  | { readonly type: "unknown"; readonly id: string };

/** What a change row holds. */
export type ChangeRecord = {
  readonly key: string;
  readonly value: string | null;
  readonly base: number;
  readonly author: string;
  readonly at: number;
};

/** Publishes a change. */
export async function publish(
  store: Store,
  change: Change,
): Promise<Published> {
  let lost = false;
  for (let tries = 0; tries < TRIES; tries += 1) {
    const outcome = await store.write(rowsOf(change));
    if (outcome.type === "written") {
      return { type: "accepted", version: outcome.revision, resolved: lost };
    }
    if (outcome.type === "conflict") {
      return await settleConflict(store, change, outcome.keys);
    }
    lost = true;
  }
  return await readBack(store, change);
}

function rowsOf(change: Change): StoredChange[] {
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

/** A conflict may be with our own earlier try. */
async function settleConflict(
  store: Store,
  change: Change,
  keys: readonly string[],
): Promise<Published> {
  if (keys.includes(CHANGE_PREFIX + change.id)) {
    return await readBack(store, change);
  }
  const theirs = await readRow(store, change.key);
  return { type: "conflict", keys, ...(theirs ? { theirs } : {}) };
}

async function readBack(store: Store, change: Change): Promise<Published> {
  try {
    const row = await readRow(store, CHANGE_PREFIX + change.id);
    if (!row) return { type: "unknown", id: change.id };
    return { type: "accepted", version: row.revision, resolved: true };
  } catch {
    return { type: "unknown", id: change.id };
  }
}

/** One row; undefined when it does not exist. */
export async function readRow(
  store: Store,
  key: string,
): Promise<StoredRow | undefined> {
  const rows = await store.read(key);
  const row = rows.find((one) => one.key === key);
  return row?.value === null ? undefined : row;
}

/** The row that every customer of a template touches when it changes. */
export function guardKey(template: string): string {
  return `guards/${template}`;
}

/** The key of an upstream's planned stop. */
export function stopKey(upstream: string): string {
  return RowKey.stop + upstream;
}
