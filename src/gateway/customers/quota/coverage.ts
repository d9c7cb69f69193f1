/** Which part of the fleet's hosts takes its quotas from this owner. */
import type { HostId, Milliseconds } from "../../../core/ids.ts";

/**
 * The hosts that name this host as the owner of one shard. The owner gives out
 * only as much of each rate as its part of the fleet: when the fleet is split,
 * each side has its own owner, and together they give what one would.
 */
export class Coverage {
  readonly #members = new Set<HostId>();
  #share = 0;
  #coveredMs: Milliseconds = 0;
  #at: Milliseconds | undefined;

  /** Whether any host names this one. */
  get isEmpty(): boolean {
    return this.#members.size === 0;
  }

  /** Part of the known hosts that are members, from 0 to 1. */
  get share(): number {
    return this.#share;
  }

  /** Time as owner, each moment counted by the share of it. */
  get coveredMs(): Milliseconds {
    return this.#coveredMs;
  }

  /** A host names this one, or names it no more. */
  set(host: HostId, isMember: boolean): void {
    if (isMember) this.#members.add(host);
    else this.#members.delete(host);
  }

  /** Goes on to `now`; `knownHosts` are all hosts of the fleet. */
  advance(knownHosts: number, now: Milliseconds): void {
    this.#coveredMs += this.#share * (now - (this.#at ?? now));
    this.#at = now;
    this.#share = Math.min(1, this.#members.size / Math.max(1, knownHosts));
  }

  /** Forgets the time as owner. */
  restart(): void {
    this.#coveredMs = 0;
  }
}
