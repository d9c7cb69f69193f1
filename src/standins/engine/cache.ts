/** Prefix cache of the engine stand-in with least-recently-used eviction. */

/** A prefix cache and the log of its changes. */
export type Cache = {
  readonly capacityBlocks: number;
  /** Hashes of the cached blocks, least recently used first. */
  readonly blocks: Map<number, true>;
  /** Oldest first; the first event has sequence number `firstSequence`. */
  events: { readonly stored: boolean; readonly hash: number }[];
  firstSequence: number;
};

/** Maximum number of events retained for clients that poll the log. */
const EVENT_LIMIT = 5000;

export function createCache(capacityBlocks: number): Cache {
  return { capacityBlocks, blocks: new Map(), events: [], firstSequence: 1 };
}

/** Counts the leading blocks of a prompt that are cached. */
export function hitBlocks(cache: Cache, prefixes: readonly number[]): number {
  let hits = 0;
  for (const hash of prefixes) {
    if (!cache.blocks.has(hash)) break;
    hits += 1;
  }
  return hits;
}

/**
 * Stores a prompt's blocks in reverse order, so that its last blocks are
 * evicted first.
 */
export function storeBlocks(cache: Cache, prefixes: readonly number[]): void {
  for (const hash of [...prefixes].reverse()) {
    const wasCached = cache.blocks.delete(hash);
    cache.blocks.set(hash, true);
    if (!wasCached) recordEvent(cache, true, hash);
  }
  for (const hash of cache.blocks.keys()) {
    if (cache.blocks.size <= cache.capacityBlocks) return;
    cache.blocks.delete(hash);
    recordEvent(cache, false, hash);
  }
}

function recordEvent(cache: Cache, stored: boolean, hash: number): void {
  cache.events.push({ stored, hash });
  if (cache.events.length <= EVENT_LIMIT) return;
  const dropped = cache.events.length - EVENT_LIMIT / 2;
  cache.events = cache.events.slice(dropped);
  cache.firstSequence += dropped;
}
