/** Checks a delta before it is applied. */
import { digestOf, toggleDigest } from "./listing_digest.ts";
import type { ListingDelta } from "./model.ts";
import type { ReplicaIndex } from "./replica_index.ts";

/**
 * Whether the listed replicas become the listing of the delta's sender. A
 * delta without a digest is checked by the number of replicas, and so is a full
 * listing, which doesn't depend on what is listed.
 */
export function leadsToSender(
  listed: Pick<ReplicaIndex, "size" | "digest" | "digestById">,
  { since, changed, gone, buckets, ...sender }: ListingDelta,
): boolean {
  const entries = new Map(changed.map((entry) => [entry.id, entry]));
  if (since < 0 && !buckets) return entries.size === sender.size;
  let { size, digest } = listed;
  for (const id of new Set([...gone, ...entries.keys()])) {
    const before = listed.digestById(id);
    const entry = entries.get(id);
    size += (entry ? 1 : 0) - (before === undefined ? 0 : 1);
    digest = toggleDigest(digest, before ?? 0);
    if (entry) digest = toggleDigest(digest, digestOf(entry));
  }
  return size === sender.size && (sender.digest ?? digest) === digest;
}
