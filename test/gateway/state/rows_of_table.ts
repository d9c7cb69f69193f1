/** Rows of several tables in one map, whose keys begin with their table. */
import type { StoreRow } from "../../../src/gateway/mod.ts";

/** The rows of one table. */
export function rowsOfTable(
  rows: ReadonlyMap<string, StoreRow>,
  table: string,
): StoreRow[] {
  return [...rows].filter(([id]) => id.startsWith(`${table}/`))
    .map(([, row]) => row);
}
