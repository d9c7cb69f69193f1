/** The rows of a store in virtual time, with conditional writes. */
import type { Clock } from "../../../src/gateway/clock.ts";
import type { RowWriteResult, StoreRow } from "../../../src/gateway/mod.ts";
import type { ArchiveStore } from "../../../src/gateway/streams/archive_writer.ts";
import { untilAborted } from "../state/until_aborted.ts";

const RESPONSE_MS = 2;

/** How the store treats calls. */
export type RowStoreMode =
  | "up"
  /** No call is carried out or answered. */
  | "silent"
  /** Writes are carried out, but not answered. */
  | "responseLost";

/** Tables of rows. */
export class RowStore {
  mode: RowStoreMode = "up";
  /** The length of each value that was written, by table. */
  readonly writtenLengths = new Map<string, number[]>();
  readonly #clock: Clock;
  readonly #tables = new Map<string, Map<string, StoreRow>>();
  #revision = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The rows of a table. */
  rowsOf(table: string): StoreRow[] {
    return [...this.#tableOf(table).values()];
  }

  /** The store as a host sees it. */
  readonly client: ArchiveStore = {
    readRows: (table, signal) => {
      return this.#respond(signal, () => ({
        rows: this.rowsOf(table),
        nowMs: this.#clock.now(),
      }));
    },
    writeRow: ({ table, key, value, ifRevision }, signal) => {
      const lengths = this.writtenLengths.get(table) ?? [];
      this.writtenLengths.set(table, [...lengths, value.length]);
      return this.#change(signal, { table, key, ifRevision }, (rows) => {
        rows.set(key, { key, value, revision: this.#revision });
      });
    },
    removeRow: ({ table, key, ifRevision }, signal) => {
      return this.#change(signal, { table, key, ifRevision }, (rows) => {
        rows.delete(key);
      });
    },
  };

  #tableOf(table: string): Map<string, StoreRow> {
    const rows = this.#tables.get(table) ?? new Map<string, StoreRow>();
    this.#tables.set(table, rows);
    return rows;
  }

  #change(
    signal: AbortSignal,
    { table, key, ifRevision }: {
      readonly table: string;
      readonly key: string;
      readonly ifRevision: number | undefined;
    },
    apply: (rows: Map<string, StoreRow>) => void,
  ): Promise<RowWriteResult> {
    return this.#respond(signal, () => {
      const rows = this.#tableOf(table);
      const revision = rows.get(key)?.revision ?? 0;
      if (ifRevision !== undefined && ifRevision !== revision) {
        return { type: "conflict" };
      }
      this.#revision += 1;
      apply(rows);
      const nowMs = this.#clock.now();
      return { type: "written", revision: this.#revision, nowMs };
    });
  }

  #respond<Value>(signal: AbortSignal, work: () => Value): Promise<Value> {
    const response = new Promise<Value>((resolve) => {
      this.#clock.after(RESPONSE_MS, () => {
        if (this.mode === "silent") return;
        const value = work();
        const isAnswered = this.mode === "up" || !isWritten(value);
        if (isAnswered) resolve(value);
      });
    });
    return untilAborted(signal, response);
  }
}

function isWritten(value: unknown): boolean {
  return typeof value === "object" && value !== null && "type" in value;
}
