/**
 * The fleet's hosts that the store or peers have listed.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { HostEntry } from "../port.ts";

/**
 * A host that has not been listed for this time is removed, but only when the
 * store has been read and does not list it. During a network partition, a host
 * cannot tell removed hosts from unreachable ones, and the shares of what all
 * hosts divide (retries, quotas) must not grow on either side.
 */
const ENTRY_TTL_MS = 60_000;

type KnownHost = { readonly entry: HostEntry; seenAt: Milliseconds };

/** Known hosts, without this one. */
export class HostDirectory {
  readonly #self: HostId;
  readonly #seeds: readonly string[];
  readonly #hosts = new Map<HostId, KnownHost>();
  /** Cache of {@link entries}; cleared when an entry changes. */
  #entries: readonly HostEntry[] | undefined;

  constructor(self: HostEntry, seeds: readonly string[]) {
    this.#self = self.id;
    this.#seeds = seeds.filter((address) => address !== self.address);
  }

  /** Number of hosts in the fleet, including this one. */
  get count(): number {
    return Math.max(this.#hosts.size, this.#seeds.length) + 1;
  }

  /** Adds or renews hosts that a peer or the store listed at `now`. */
  add(entries: readonly HostEntry[], now: Milliseconds): void {
    for (const entry of entries) {
      if (entry.id !== this.#self) this.#addEntry(entry, now);
    }
  }

  /** Adds the store's full list of hosts at `now`, and removes expired ones. */
  addFromStore(entries: readonly HostEntry[], now: Milliseconds): void {
    this.add(entries, now);
    for (const [id, known] of this.#hosts) {
      if (now - known.seenAt > ENTRY_TTL_MS) this.#removeHost(id);
    }
  }

  #addEntry(entry: HostEntry, now: Milliseconds): void {
    const known = this.#hosts.get(entry.id);
    if (known && isSameHost(known.entry, entry)) {
      known.seenAt = now;
      return;
    }
    this.#hosts.set(entry.id, { entry, seenAt: now });
    this.#entries = undefined;
  }

  #removeHost(id: HostId): void {
    if (this.#hosts.delete(id)) this.#entries = undefined;
  }

  /** Renews all known hosts. */
  refresh(now: Milliseconds): void {
    for (const known of this.#hosts.values()) known.seenAt = now;
  }

  /** Removes hosts. */
  remove(ids: readonly HostId[]): void {
    for (const id of ids) this.#removeHost(id);
  }

  /** The host with this name, if it is known and not this one. */
  get(id: HostId): HostEntry | undefined {
    return this.#hosts.get(id)?.entry;
  }

  /** All known hosts but this one; the same array as long as none changes. */
  entries(): readonly HostEntry[] {
    this.#entries ??= [...this.#hosts.values()].map((known) => known.entry);
    return this.#entries;
  }

  /** Addresses of all known hosts and of the seeds in the settings. */
  addresses(): string[] {
    const known = this.entries().map((host) => host.address);
    return [...new Set([...known, ...this.#seeds])];
  }
}

/** Whether two entries of a host say the same. */
export function isSameHost(host: HostEntry, other: HostEntry): boolean {
  return host.address === other.address && host.hall === other.hall &&
    host.capacity === other.capacity;
}
