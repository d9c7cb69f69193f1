/** The fleet's hosts as far as this one knows: from the store and by word. */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { HostEntry } from "../port.ts";

/**
 * A host that nobody has named for so long is forgotten when the store is read
 * and does not name it, either. Not before: while hosts are cut off they can't
 * tell who has gone from who can't be heard, and what is divided among all hosts
 * (retries, quotas) must not be divided by fewer on each side of a cut.
 */
const FORGET_MS = 60_000;

type Known = { readonly entry: HostEntry; at: Milliseconds };

/** Known hosts, this one left out. */
export class HostDirectory {
  readonly #self: HostId;
  readonly #seeds: readonly string[];
  readonly #hosts = new Map<HostId, Known>();
  /** All entries; made anew only when one of them has changed. */
  #entries: readonly HostEntry[] | undefined;

  constructor(self: HostEntry, seeds: readonly string[]) {
    this.#self = self.id;
    this.#seeds = seeds.filter((one) => one !== self.address);
  }

  /** Hosts of the fleet, this one included. */
  get count(): number {
    return Math.max(this.#hosts.size, this.#seeds.length) + 1;
  }

  /** Takes entries that somebody named at `now`. */
  learn(entries: readonly HostEntry[], now: Milliseconds): void {
    for (const entry of entries) {
      if (entry.id !== this.#self) this.#learnOne(entry, now);
    }
  }

  /** Takes all hosts that the store names at `now`. */
  learnAll(entries: readonly HostEntry[], now: Milliseconds): void {
    this.learn(entries, now);
    for (const [id, known] of this.#hosts) {
      if (now - known.at > FORGET_MS) this.#drop(id);
    }
  }

  #learnOne(entry: HostEntry, now: Milliseconds): void {
    const known = this.#hosts.get(entry.id);
    const { address, hall } = known?.entry ?? {};
    if (known && address === entry.address && hall === entry.hall) {
      known.at = now;
      return;
    }
    this.#hosts.set(entry.id, { entry, at: now });
    this.#entries = undefined;
  }

  #drop(id: HostId): void {
    if (this.#hosts.delete(id)) this.#entries = undefined;
  }

  /** Whoever told of the hosts believes in them still. */
  refresh(now: Milliseconds): void {
    for (const known of this.#hosts.values()) known.at = now;
  }

  /** Takes out hosts that are believed no more. */
  forget(ids: readonly HostId[]): void {
    for (const id of ids) this.#drop(id);
  }

  /** The host of that name, if it is known and not this one. */
  get(id: HostId): HostEntry | undefined {
    return this.#hosts.get(id)?.entry;
  }

  /** All known hosts but this one; the same array while none changes. */
  entries(): readonly HostEntry[] {
    this.#entries ??= [...this.#hosts.values()].map((one) => one.entry);
    return this.#entries;
  }

  /** Addresses to ask, those from the settings included. */
  addresses(): string[] {
    const named = this.entries().map((one) => one.address);
    return [...new Set([...named, ...this.#seeds])];
  }
}
