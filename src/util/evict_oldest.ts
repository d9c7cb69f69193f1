/** Limits the size of a map or set by evicting the oldest entries. */

/** Evicts entries in insertion order until at most `maxSize` are left. */
export function evictOldest<Key>(
  entries: Pick<Map<Key, unknown> | Set<Key>, "keys" | "delete" | "size">,
  maxSize: number,
): void {
  for (const key of entries.keys()) {
    if (entries.size <= maxSize) return;
    entries.delete(key);
  }
}
