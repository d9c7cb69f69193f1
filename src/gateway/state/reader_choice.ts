/** Which host of a hall reads the store for the others; pure. */
import type { HostId } from "../../core/ids.ts";
import { rendezvous } from "../../core/util/rendezvous.ts";
import type { HostEntry } from "../port.ts";

/**
 * The reader that `self` follows: the first of its hall's hosts by rendezvous
 * hashing that is not suspect; `self` when it comes first.
 */
export function chooseReader(
  self: Pick<HostEntry, "id" | "hall">,
  hosts: readonly HostEntry[],
  isSuspect: (host: HostId) => boolean,
): HostId {
  const near = hosts.filter((one) =>
    one.hall === self.hall && !isSuspect(one.id)
  );
  const candidates = [self.id, ...near.map((one) => one.id)];
  return rendezvous(`store-reader/${self.hall}`, candidates)[0] ?? self.id;
}
