/** Bounds a map or set by forgetting what was entered first. */

/** Forgets the oldest entries until no more than `most` are left. */
export function forgetOldest<Key>(
  entries: Pick<Map<Key, unknown> | Set<Key>, "keys" | "delete" | "size">,
  most: number,
): void {
  for (const key of entries.keys()) {
    if (entries.size <= most) return;
    entries.delete(key);
  }
}
