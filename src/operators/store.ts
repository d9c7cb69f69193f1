/**
 * Store interface through which operator tools read and write settings rows.
 */

/** A row of the platform's settings table. */
export type StoredRow = {
  readonly key: string;
  readonly revision: number;
  readonly value: string | null;
};

/** A change of one row, applied only if its condition holds. */
export type ConditionalChange = {
  readonly key: string;
  /** Null removes the row; absent: the row is only checked. */
  readonly value?: string | null;
  /** 0: the row must not exist; absent: no condition. */
  readonly ifRevision?: number;
};

/** Outcome of a write. */
export type WriteOutcome =
  | { readonly type: "written"; readonly revision: number }
  | { readonly type: "conflict"; readonly keys: readonly string[] }
  /** No response: the write may or may not have taken effect. */
  | { readonly type: "lost" };

/** The platform, or an entry host that forwards calls to it. */
export type Store = {
  /** Reads all rows under a prefix; rejects when the store does not respond. */
  read(prefix: string): Promise<readonly StoredRow[]>;
  /** Applies all changes, or none if a condition fails. */
  write(changes: readonly ConditionalChange[]): Promise<WriteOutcome>;
};
