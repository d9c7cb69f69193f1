/**
 * Digests of a listing, by which two hosts find out where their listings
 * differ without sending them.
 */
import murmurhash from "murmurhash";
import type { ReplicaEntry } from "./model.ts";

/** Replicas are assigned to this many buckets by their ids. */
const BUCKETS = 128;

/** One digest for each bucket of a listing. */
export type ListingDigests = readonly number[];

/**
 * The digest of an entry, from which that of a whole listing is made. Leaves out
 * whether the replica is draining, which hosts learn apart from the listing.
 */
export function digestOf(entry: ReplicaEntry): number {
  return murmurhash.v3(textOf({ ...entry, leaving: false }));
}

/** A listing's digest with an entry added, or removed if it was included. */
export function toggleDigest(listing: number, entry: number): number {
  return (listing ^ entry) >>> 0;
}

/** The bucket of a replica. */
export function bucketOf(id: string): number {
  return murmurhash.v3(id) % BUCKETS;
}

/** The digests of a listing; they don't depend on the order of its entries. */
export function digestsOf(entries: readonly ReplicaEntry[]): ListingDigests {
  const digests = new Array<number>(BUCKETS).fill(0);
  for (const entry of entries) {
    const bucket = bucketOf(entry.id);
    const before = digests[bucket] ?? 0;
    digests[bucket] = toggleDigest(before, murmurhash.v3(textOf(entry)));
  }
  return digests;
}

/** The buckets in which two listings differ. */
export function differingBuckets(
  a: ListingDigests,
  b: ListingDigests,
): Set<number> {
  const buckets = Array.from({ length: BUCKETS }, (_, bucket) => bucket);
  return new Set(buckets.filter((bucket) => a[bucket] !== b[bucket]));
}

function textOf(entry: ReplicaEntry): string {
  const { id, born, service, address, hall, slots, leaving } = entry;
  const { stage, coldMs, softwareVersion } = entry;
  return [
    id,
    born,
    service,
    address,
    hall,
    slots,
    leaving,
    stage,
    coldMs,
    softwareVersion,
  ].join("\n");
}
