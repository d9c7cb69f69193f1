/** Where operators' programs read and write settings rows. */

/** A row of the platform's table. */
export type StoredRow = {
  readonly key: string;
  readonly revision: number;
  readonly value: string | null;
};

/** One conditional change. */
export type StoredChange = {
  readonly key: string;
  /** Null removes the row; absent: the row is only checked. */
  readonly value?: string | null;
  /** 0: the row must not exist; absent: no condition. */
  readonly ifRevision?: number;
};

/** What a write came to. */
export type StoreOutcome =
  | { readonly type: "written"; readonly revision: number }
  | { readonly type: "conflict"; readonly keys: readonly string[] }
  /** No answer: it may or may not have taken effect. */
  | { readonly type: "lost" };

/** The platform itself, or an entry host that passes calls on. */
export type Store = {
  /** All rows under a prefix; rejects when there is no answer. */
  read(prefix: string): Promise<readonly StoredRow[]>;
  write(changes: readonly StoredChange[]): Promise<StoreOutcome>;
};
