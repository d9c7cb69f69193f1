/** The engine's prefix cache: blocks, least recently used first. */

/** A prefix cache with its log of events. */
export type Cache = {
  readonly capacityBlocks: number;
  readonly blocks: Map<number, true>;
  /** Newest last; the first one has sequence number `firstSequence`. */
  events: { readonly stored: boolean; readonly hash: number }[];
  firstSequence: number;
};

/** Events kept for readers that come late. */
const EVENT_LIMIT = 5000;

/** An empty cache. */
export function createCache(capacityBlocks: number): Cache {
  return { capacityBlocks, blocks: new Map(), events: [], firstSequence: 1 };
}

/** Leading blocks of a prompt that the cache holds. */
export function hitBlocks(cache: Cache, prefixes: readonly number[]): number {
  let hits = 0;
  for (const hash of prefixes) {
    if (!cache.blocks.has(hash)) break;
    hits += 1;
  }
  return hits;
}

/** Stores a prompt's blocks, the deepest to be evicted first. */
export function storeBlocks(cache: Cache, prefixes: readonly number[]): void {
  for (const hash of [...prefixes].reverse()) {
    const known = cache.blocks.delete(hash);
    cache.blocks.set(hash, true);
    if (!known) note(cache, true, hash);
  }
  for (const hash of cache.blocks.keys()) {
    if (cache.blocks.size <= cache.capacityBlocks) return;
    cache.blocks.delete(hash);
    note(cache, false, hash);
  }
}

function note(cache: Cache, stored: boolean, hash: number): void {
  cache.events.push({ stored, hash });
  if (cache.events.length <= EVENT_LIMIT) return;
  const dropped = cache.events.length - EVENT_LIMIT / 2;
  cache.events = cache.events.slice(dropped);
  cache.firstSequence += dropped;
}
