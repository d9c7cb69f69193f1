/** The fleet's hosts as far as this one knows: from the store and by word. */
import type { HostId, Milliseconds } from "../../core/ids.ts";
import type { HostEntry } from "../port.ts";

/** A host that nobody has named for so long is forgotten. */
const FORGET_MS = 60_000;

type Known = { readonly entry: HostEntry; readonly at: Milliseconds };

/** Known hosts, this one left out. */
export class HostDirectory {
  readonly #self: HostId;
  readonly #seeds: readonly string[];
  readonly #hosts = new Map<HostId, Known>();

  constructor(self: HostEntry, seeds: readonly string[]) {
    this.#self = self.id;
    this.#seeds = seeds.filter((one) => one !== self.address);
  }

  /** Hosts of the fleet, this one included. */
  get count(): number {
    return Math.max(this.#hosts.size, this.#seeds.length) + 1;
  }

  /** Takes entries named at `now`. */
  learn(entries: readonly HostEntry[], now: Milliseconds): void {
    for (const entry of entries) {
      if (entry.id === this.#self) continue;
      this.#hosts.set(entry.id, { entry, at: now });
    }
    for (const [id, known] of this.#hosts) {
      if (now - known.at > FORGET_MS) this.#hosts.delete(id);
    }
  }

  /** Whoever told of the hosts believes in them still. */
  refresh(now: Milliseconds): void {
    for (const [id, { entry }] of this.#hosts) {
      this.#hosts.set(id, { entry, at: now });
    }
  }

  /** Takes out hosts that are believed no more. */
  forget(ids: readonly HostId[]): void {
    for (const id of ids) this.#hosts.delete(id);
  }

  /** All known hosts but this one. */
  entries(): HostEntry[] {
    return [...this.#hosts.values()].map((one) => one.entry);
  }

  /** Addresses to ask, those from the settings included. */
  addresses(): string[] {
    const named = this.entries().map((one) => one.address);
    return [...new Set([...named, ...this.#seeds])];
  }
}
