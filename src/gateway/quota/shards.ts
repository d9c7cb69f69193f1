/** Accounts are dealt to shards, and each shard to one owner among the hosts. */
import murmurhash from "murmurhash";

/**
 * Number of shards, the same on all hosts. Each host keeps a link an owner; at
 * 3,800 requests a second an owner answers 475 a second (see docs/CAPACITY.md
 * for what that costs).
 */
export const SHARD_COUNT = 8;

/** The shard of a customer. */
export function shardOf(customer: string): number {
  return murmurhash.v3(customer) % SHARD_COUNT;
}

/** Names the rendezvous order of a shard's possible owners. */
export function orderKeyOf(shard: number): string {
  return `quota-${shard}`;
}
