/**
 * Replicas that asked this host to send them nothing for a time. It says
 * nothing of how they serve others, and only time ends it: a success that was
 * under way when a replica asked doesn't.
 */
import type { Milliseconds } from "../../core/ids.ts";
import { forgetOldest } from "../../util/forget_oldest.ts";

/** A faulty header takes a replica out for no longer than this. */
const LONGEST_MS: Milliseconds = 10 * 60_000;
/** Replicas whose backoff is kept. */
const MOST_REPLICAS = 3000;

/** Backoffs by the replicas' incarnations. */
export class Backoffs {
  readonly #untils = new Map<string, Milliseconds>();

  /** The replica asks for `forMs`; gives whether it is news. */
  ask(incarnation: string, forMs: Milliseconds, now: Milliseconds): boolean {
    const before = this.#untils.get(incarnation) ?? -Infinity;
    const until = now + Math.min(LONGEST_MS, forMs);
    if (until <= before) return false;
    // The newest are last.
    this.#untils.delete(incarnation);
    this.#untils.set(incarnation, until);
    forgetOldest(this.#untils, MOST_REPLICAS);
    return before <= now;
  }

  /** Time until the replica may be sent something; 0: now. */
  leftMs(incarnation: string, now: Milliseconds): Milliseconds {
    return Math.max(0, (this.#untils.get(incarnation) ?? 0) - now);
  }

  /** Replicas that are left alone now. */
  count(now: Milliseconds): number {
    return [...this.#untils.values()].filter((until) => until > now).length;
  }
}
