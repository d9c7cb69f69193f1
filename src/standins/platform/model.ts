/** Simulated platform: a transactional table, objects and the host list. */
import type { HostList, ListEntry } from "../../core/mod.ts";

/** A row of the table. */
export type Row = {
  readonly key: string;
  readonly revision: number;
  readonly value: string | null;
};

/** A conditional change; see docs/PLATFORM.md. */
export type Change = {
  readonly key: string;
  /** Null removes the row; when absent, the row is only checked. */
  readonly value?: string | null;
  readonly ifRevision?: number;
  readonly ifValue?: string;
};

/** State of the platform. */
export type Platform = {
  revision: number;
  readonly rows: Map<string, Row>;
  readonly objects: Map<string, string>;
  list: HostList;
  /** Whether calls get no response. */
  down: boolean;
  /** Delay of each response. */
  slowMs: number;
  /** Number of next writes that are applied but get no response. */
  loseWrites: number;
};

export function createPlatform(): Platform {
  return {
    revision: 0,
    rows: new Map(),
    objects: new Map(),
    list: { revision: 0, entries: [] },
    down: false,
    slowMs: 0,
    loseWrites: 0,
  };
}

/** The outcome of a write. */
export type WriteResult =
  | { readonly ok: true; readonly revision: number }
  | { readonly ok: false; readonly conflicts: readonly string[] };

/** Applies all changes, or none when a condition fails. */
export function writeRows(
  platform: Platform,
  changes: readonly Change[],
): WriteResult {
  const conflicts = changes
    .filter((change) => !conditionsHold(platform, change))
    .map((change) => change.key);
  if (conflicts.length > 0) return { ok: false, conflicts };
  platform.revision += 1;
  const { revision } = platform;
  for (const { key, value } of changes) {
    if (value === undefined) continue;
    platform.rows.set(key, { key, value, revision });
  }
  return { ok: true, revision };
}

function conditionsHold(platform: Platform, change: Change): boolean {
  const row = platform.rows.get(change.key);
  const { ifRevision, ifValue } = change;
  if (ifValue !== undefined && row?.value !== ifValue) return false;
  if (ifRevision === undefined) return true;
  const absent = row === undefined || row.value === null;
  if (ifRevision === 0) return absent;
  return row?.revision === ifRevision;
}

/** Returns the rows under a prefix that changed after a revision, in order. */
export function readRows(
  platform: Platform,
  prefix: string,
  after: number,
): Row[] {
  return [...platform.rows.values()]
    .filter((row) => row.key.startsWith(prefix) && row.revision > after)
    .sort((a, b) => a.revision - b.revision);
}

/** Replaces the host list. */
export function putHosts(
  platform: Platform,
  entries: readonly ListEntry[],
): void {
  const revision = platform.list.revision + 1;
  platform.list = { revision, entries: [...entries] };
}
