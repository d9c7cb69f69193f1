/**
 * Finds the requests that crash replicas, from a set of (request, crashed
 * replica) records. Merging records is commutative and idempotent, so that all
 * hosts reach the same result.
 *
 * All requests that ran at a replica share its crash. The request with the most
 * crashes is quarantined first, and its crashes no longer count for the others.
 * Replicas that crash simultaneously are assumed to have a common cause, so
 * their crashes don't count for requests that ran at only some of them. A
 * complete response clears a request of its earlier crashes.
 */
import type { Milliseconds } from "../../util/units.ts";
import type {
  Clearance,
  CrashRecord,
  CrashRule,
  CrashUpdate,
  Quarantine,
} from "./model.ts";

/**
 * Additional crashes before a request is quarantined that ran together with
 * another one each time. Until then either may be the cause, and a retry of
 * only one of them may show which.
 */
const EXTRA_CRASHES_IF_AMBIGUOUS = 2;
/**
 * Replicas that crash within this time of each other crash simultaneously. Hosts
 * see crashes with one cause within a few milliseconds.
 */
const SIMULTANEOUS_MS = 50;
/**
 * Maximum number of requests that are stored. Callers can send any number, but
 * each costs a crash: these are the requests of fifty replicas with twenty each.
 */
const MAX_REQUESTS = 1000;
/**
 * Maximum number of crashes that are stored of a request; more don't change the
 * result. It keeps a message with the full table below a link's limit of 1 MB.
 */
const MAX_CRASHES_PER_REQUEST = 8;

/** A request with recorded crashes. */
type Suspect = {
  /** When each replica crashed, by incarnation. */
  readonly crashes: Map<string, Milliseconds>;
  /** Time of the last complete response, if there was one. */
  answeredAt: Milliseconds | undefined;
};

/** Requests and the replicas that crashed while running them. */
export class CrashTable {
  #rule: CrashRule;
  readonly #suspects = new Map<string, Suspect>();
  #quarantines: ReadonlyMap<string, Quarantine> = new Map();

  constructor(rule: CrashRule) {
    this.#rule = rule;
  }

  /** Number of requests with recorded crashes. */
  get size(): number {
    return this.#suspects.size;
  }

  /** The quarantined requests, by fingerprint. */
  get quarantines(): ReadonlyMap<string, Quarantine> {
    return this.#quarantines;
  }

  /** Replaces the rule and updates the quarantines. */
  setRule(rule: CrashRule): void {
    this.#rule = rule;
    this.#updateQuarantines();
  }

  /** Whether a crash of the request is recorded. */
  has(fingerprint: string): boolean {
    return this.#suspects.has(fingerprint);
  }

  /** Returns the request's quarantine, if it is in force. */
  quarantineOf(fingerprint: string, now: Milliseconds): Quarantine | undefined {
    const quarantine = this.#quarantines.get(fingerprint);
    return quarantine && now < quarantine.until ? quarantine : undefined;
  }

  /** Merges an update; returns the part of it that changed the table. */
  merge(update: CrashUpdate, now: Milliseconds): CrashUpdate {
    this.#removeExpired(now);
    const records = update.records.filter((record) => this.#add(record, now));
    const clearances = update.clearances.filter((clearance) =>
      this.#clear(clearance)
    );
    if (records.length + clearances.length > 0) this.#updateQuarantines();
    return { records, clearances };
  }

  /** The full table, for a host that has just connected. */
  all(now: Milliseconds): CrashUpdate {
    this.#removeExpired(now);
    return this.#updateOf([...this.#suspects]);
  }

  /**
   * Records and clearances of at most `limit` requests, those with the most
   * crashes first, and with at least `minCount` of them.
   */
  worst(
    { minCount, limit }: { readonly minCount: number; readonly limit: number },
    now: Milliseconds,
  ): CrashUpdate {
    this.#removeExpired(now);
    const entries = [...this.#suspects]
      .map((entry) => ({ entry, count: countedCrashes(entry[1]).length }))
      .filter(({ count }) => count >= minCount)
      .sort((a, b) => b.count - a.count)
      .slice(0, limit);
    return this.#updateOf(entries.map(({ entry }) => entry));
  }

  #updateOf(entries: readonly (readonly [string, Suspect])[]): CrashUpdate {
    const records = entries.flatMap(([fingerprint, { crashes }]) =>
      [...crashes].map(([incarnation, at]) => ({
        fingerprint,
        incarnation,
        at,
      }))
    );
    const clearances = entries.flatMap(([fingerprint, { answeredAt }]) =>
      answeredAt === undefined ? [] : [{ fingerprint, at: answeredAt }]
    );
    return { records, clearances };
  }

  #add(record: CrashRecord, now: Milliseconds): boolean {
    const { fingerprint, incarnation, at } = record;
    if (now - at >= this.#rule.ttlMs) return false;
    const known = this.#suspects.get(fingerprint);
    if (known?.crashes.has(incarnation)) return false;
    if (known && known.crashes.size >= MAX_CRASHES_PER_REQUEST) return false;
    const suspect = known ?? { crashes: new Map(), answeredAt: undefined };
    suspect.crashes.set(incarnation, at);
    if (known) return true;
    this.#suspects.set(fingerprint, suspect);
    if (this.#suspects.size > MAX_REQUESTS) this.#evict(fingerprint);
    return this.#suspects.has(fingerprint);
  }

  /**
   * Evicts the oldest of the requests with the fewest crashes, but not
   * `newest`.
   */
  #evict(newest: string): void {
    let evicted: string | undefined;
    let minCrashes = Infinity;
    for (const [fingerprint, { crashes }] of this.#suspects) {
      if (fingerprint === newest || crashes.size >= minCrashes) continue;
      minCrashes = crashes.size;
      evicted = fingerprint;
      if (minCrashes === 1) break;
    }
    if (evicted !== undefined) this.#suspects.delete(evicted);
  }

  #clear({ fingerprint, at }: Clearance): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect || at <= (suspect.answeredAt ?? -Infinity)) return false;
    const before = countedCrashes(suspect).length;
    suspect.answeredAt = at;
    return countedCrashes(suspect).length < before;
  }

  /** Requests with at least `minCrashes` crashes, and those that count. */
  #candidates(minCrashes: number): Map<string, readonly string[]> {
    const found = [...this.#suspects]
      .filter(([, { crashes }]) => crashes.size >= minCrashes);
    if (found.length === 0) return new Map();
    const times = this.#crashTimes();
    return new Map(found.map(([fingerprint, suspect]) => {
      const counted = countedCrashes(suspect)
        .filter((crashed) => !hasCommonCause(crashed, suspect, times));
      return [fingerprint, counted] as const;
    }));
  }

  /** The earliest recorded time of each replica's crash. */
  #crashTimes(): Map<string, Milliseconds> {
    const times = new Map<string, Milliseconds>();
    for (const { crashes } of this.#suspects.values()) {
      for (const [incarnation, at] of crashes) {
        times.set(incarnation, Math.min(at, times.get(incarnation) ?? at));
      }
    }
    return times;
  }

  /** Removes requests whose last crash is older than the TTL. */
  #removeExpired(now: Milliseconds): void {
    const oldest = now - this.#rule.ttlMs;
    for (const [fingerprint, { crashes }] of this.#suspects) {
      const last = Math.max(...crashes.values());
      if (last <= oldest) this.#suspects.delete(fingerprint);
    }
  }

  #updateQuarantines(): void {
    const { crashThreshold, ttlMs } = this.#rule;
    const remaining = this.#candidates(crashThreshold);
    const quarantines = new Map<string, Quarantine>();
    const undecided: (readonly string[])[] = [];
    for (;;) {
      const worst = worstOf(remaining, crashThreshold);
      if (!worst) break;
      const [fingerprint, incarnations] = worst;
      remaining.delete(fingerprint);
      const others = [...remaining.values(), ...undecided];
      const isAccompanied = others.some((crashes) =>
        incarnations.every((incarnation) => crashes.includes(incarnation))
      );
      const threshold = isAccompanied
        ? crashThreshold + EXTRA_CRASHES_IF_AMBIGUOUS
        : crashThreshold;
      if (incarnations.length < threshold) {
        undecided.push(incarnations);
        continue;
      }
      const times = this.#suspects.get(fingerprint)?.crashes.values() ?? [];
      const until = Math.max(...times) + ttlMs;
      quarantines.set(fingerprint, { incarnations, until });
      for (const [other, crashes] of remaining) {
        const unexplained = crashes.filter((incarnation) =>
          !incarnations.includes(incarnation)
        );
        remaining.set(other, unexplained);
      }
    }
    this.#quarantines = quarantines;
  }
}

/** The crashes since the request's last complete response. */
function countedCrashes(
  { crashes, answeredAt = -Infinity }: Suspect,
): string[] {
  return [...crashes].filter(([, at]) => at > answeredAt)
    .map(([incarnation]) => incarnation);
}

/**
 * Whether another replica crashed simultaneously that didn't run the request.
 * Then both are assumed to have a common cause, such as a rack or a release.
 */
function hasCommonCause(
  incarnation: string,
  { crashes }: Suspect,
  times: ReadonlyMap<string, Milliseconds>,
): boolean {
  const at = times.get(incarnation) ?? 0;
  for (const [other, otherAt] of times) {
    if (crashes.has(other)) continue;
    if (Math.abs(at - otherAt) <= SIMULTANEOUS_MS) return true;
  }
  return false;
}

/**
 * The request with the most crashes; ties are broken the same way at all hosts.
 */
function worstOf(
  requests: ReadonlyMap<string, readonly string[]>,
  minCrashes: number,
): readonly [string, readonly string[]] | undefined {
  let worst: readonly [string, readonly string[]] | undefined;
  for (const request of requests) {
    const [fingerprint, { length }] = request;
    if (length < minCrashes) continue;
    const worstLength = worst?.[1].length ?? 0;
    const isWorse = length > worstLength ||
      (length === worstLength && fingerprint < (worst?.[0] ?? ""));
    if (isWorse) worst = request;
  }
  return worst;
}
