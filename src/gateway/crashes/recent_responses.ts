/**
 * Counts this host's recent complete responses, so that requests which are
 * served all the time are known when a replica crashes under them.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clearance } from "./model.ts";

/** Maximum number of fingerprints; most are of requests that never return. */
const MAX_FINGERPRINTS = 4096;

/** The responses of one fingerprint. */
type ResponseCount = {
  readonly responses: number;
  /** When the last one ended. */
  readonly at: Milliseconds;
};

/** Complete responses by fingerprint, those without recent ones first. */
export class RecentResponses {
  readonly #host: string;
  readonly #counts = new Map<string, ResponseCount>();

  constructor(host: string) {
    this.#host = host;
  }

  /** Counts a response that ended at `now`. */
  note(fingerprint: string, now: Milliseconds): void {
    const responses = (this.#counts.get(fingerprint)?.responses ?? 0) + 1;
    this.#counts.delete(fingerprint);
    this.#counts.set(fingerprint, { responses, at: now });
    evictOldest(this.#counts, MAX_FINGERPRINTS);
  }

  /** The clearances of those fingerprints that had a response after `since`. */
  clearancesOf(
    fingerprints: readonly string[],
    since: Milliseconds,
  ): Clearance[] {
    return fingerprints.flatMap((fingerprint) => {
      const count = this.#counts.get(fingerprint);
      if (!count || count.at <= since) return [];
      return [{ fingerprint, host: this.#host, ...count }];
    });
  }

  /** The clearance of a service by one response at `now`, which isn't counted. */
  serviceClearance(fingerprint: string, now: Milliseconds): Clearance {
    return { fingerprint, host: this.#host, at: now, responses: 1 };
  }
}
