/** Assigns accounts to shards; each shard has one owner among the hosts. */
import murmurhash from "murmurhash";

/**
 * Number of shards; must be the same on all hosts. Each host has a link to each
 * owner, and at 3,800 requests a second an owner answers 475 a second (see
 * docs/CAPACITY.md for the cost).
 */
export const SHARD_COUNT = 8;

export function shardOf(customer: string): number {
  return murmurhash.v3(customer) % SHARD_COUNT;
}

/** Key of the rendezvous order of a shard's possible owners. */
export function orderKeyOf(shard: number): string {
  return `quota-${shard}`;
}
