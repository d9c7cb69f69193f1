/**
 * Records of crashed replicas and what ran there. Merging records is commutative
 * and idempotent, so that all hosts reach the same quarantines.
 */
import type { Milliseconds } from "../../util/units.ts";
import { isNearQuarantine } from "./candidate.ts";
import { findQuarantines } from "./find_quarantines.ts";
import {
  type Clearance,
  type CrashRecord,
  type CrashRule,
  type CrashUpdate,
  type Quarantine,
  SuspectKind,
} from "./model.ts";
import {
  acceptsResponses,
  addCrash,
  addResponses,
  countedCrashes,
  createSuspect,
  lastCrashAt,
  lastResponseAt,
  type Suspect,
} from "./suspect.ts";

/**
 * Maximum number of suspects that are stored. Callers can send any number of
 * requests, but each costs a crash: these are the requests of fifty replicas
 * with twenty each.
 */
const MAX_SUSPECTS: Readonly<Record<SuspectKind, number>> = {
  request: 1000,
  part: 300,
  service: 50,
};

/**
 * Maximum number of crashes of a suspect that are written into a row, and of
 * hosts that served it.
 */
const MAX_ROW_CRASHES = 8;
const MAX_ROW_HOSTS = 3;

/** Suspects and the replicas that crashed while running them. */
export class CrashTable {
  #rule: CrashRule;
  readonly #suspects = new Map<string, Suspect>();
  readonly #sizes: Record<SuspectKind, number> = {
    request: 0,
    part: 0,
    service: 0,
  };
  #quarantines: ReadonlyMap<string, Quarantine> = new Map();
  /** No suspect expires before this time. */
  #expiresAt: Milliseconds = Infinity;

  constructor(rule: CrashRule) {
    this.#rule = rule;
  }

  /** Number of requests with recorded crashes. */
  get size(): number {
    return this.#sizes.request;
  }

  /** The quarantines of requests and parts, by fingerprint. */
  get quarantines(): ReadonlyMap<string, Quarantine> {
    return this.#quarantines;
  }

  /** Replaces the rule and updates the quarantines. */
  setRule(rule: CrashRule): void {
    this.#rule = rule;
    this.#expiresAt = -Infinity;
    this.#updateQuarantines();
  }

  /** Whether a crash with the fingerprint is recorded. */
  has(fingerprint: string): boolean {
    return this.#suspects.has(fingerprint);
  }

  /** Whether one more crash may quarantine what has the fingerprint. */
  isNearQuarantine(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && isNearQuarantine(suspect, this.#rule);
  }

  /** Whether more responses of a suspect may change the result. */
  acceptsResponses(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && acceptsResponses(suspect);
  }

  /** Returns the quarantine with the fingerprint, if it is in force. */
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
    return updateOf([...this.#suspects]);
  }

  /**
   * Records and clearances of at most `limit` requests and parts, those with the
   * most crashes first, and with at least `minCount` of them.
   */
  worst(
    { minCount, limit }: { readonly minCount: number; readonly limit: number },
    now: Milliseconds,
  ): CrashUpdate {
    this.#removeExpired(now);
    const entries = [...this.#suspects]
      .filter(([, { kind }]) => kind !== SuspectKind.service)
      .map((entry) => ({ entry, count: countedCrashes(entry[1]).length }))
      .filter(({ count }) => count >= minCount)
      .sort((a, b) => b.count - a.count)
      .slice(0, limit);
    const { records, clearances } = updateOf(entries.map(({ entry }) => entry));
    const newest = [...records].sort((a, b) => b.at - a.at);
    const most = [...clearances].sort((a, b) => b.responses - a.responses);
    return {
      records: firstOfEach(newest, MAX_ROW_CRASHES),
      clearances: firstOfEach(most, MAX_ROW_HOSTS),
    };
  }

  #add(record: CrashRecord, now: Milliseconds): boolean {
    const { kind, fingerprint, at } = record;
    if (now - at >= this.#rule.ttlMs) return false;
    const known = this.#suspects.get(fingerprint);
    if (known) return addCrash(known, record);
    const suspect = createSuspect(kind);
    addCrash(suspect, record);
    this.#expiresAt = Math.min(this.#expiresAt, at + this.#rule.ttlMs);
    this.#suspects.set(fingerprint, suspect);
    this.#sizes[kind] += 1;
    if (this.#sizes[kind] > MAX_SUSPECTS[kind]) this.#evict(kind, fingerprint);
    return this.#suspects.has(fingerprint);
  }

  /**
   * Evicts the oldest of the suspects of a kind with the fewest crashes, but not
   * `newest`.
   */
  #evict(kind: SuspectKind, newest: string): void {
    let evicted: string | undefined;
    let minCrashes = Infinity;
    for (const [fingerprint, suspect] of this.#suspects) {
      const { size } = suspect.crashes;
      if (suspect.kind !== kind || fingerprint === newest) continue;
      if (size >= minCrashes) continue;
      minCrashes = size;
      evicted = fingerprint;
      if (minCrashes === 1) break;
    }
    if (evicted !== undefined) this.#remove(evicted);
  }

  #remove(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect) return;
    this.#suspects.delete(fingerprint);
    this.#sizes[suspect.kind] -= 1;
  }

  #clear(clearance: Clearance): boolean {
    const suspect = this.#suspects.get(clearance.fingerprint);
    return suspect !== undefined && addResponses(suspect, clearance);
  }

  /** Removes suspects whose last crash is older than the TTL. */
  #removeExpired(now: Milliseconds): void {
    if (now < this.#expiresAt) return;
    this.#expiresAt = Infinity;
    for (const [fingerprint, suspect] of this.#suspects) {
      const expiresAt = lastCrashAt(suspect) + this.#rule.ttlMs;
      if (expiresAt <= now) this.#remove(fingerprint);
      else this.#expiresAt = Math.min(this.#expiresAt, expiresAt);
    }
  }

  #updateQuarantines(): void {
    this.#quarantines = findQuarantines(this.#suspects, this.#rule);
  }
}

function updateOf(
  entries: readonly (readonly [string, Suspect])[],
): CrashUpdate {
  return {
    records: entries.flatMap((entry) => recordsOf(...entry)),
    clearances: entries.flatMap((entry) => clearancesOf(...entry)),
  };
}

/** The first entries of each suspect. */
function firstOfEach<Entry extends { readonly fingerprint: string }>(
  entries: readonly Entry[],
  limit: number,
): Entry[] {
  const counts = new Map<string, number>();
  return entries.filter(({ fingerprint }) => {
    const count = (counts.get(fingerprint) ?? 0) + 1;
    counts.set(fingerprint, count);
    return count <= limit;
  });
}

function recordsOf(
  fingerprint: string,
  { kind, crashes }: Suspect,
): CrashRecord[] {
  return [...crashes].map(([incarnation, crash]) => ({
    kind,
    fingerprint,
    incarnation,
    ...crash,
  }));
}

function clearancesOf(fingerprint: string, suspect: Suspect): Clearance[] {
  const at = lastResponseAt(suspect);
  return [...suspect.responses].map(([host, responses]) => ({
    fingerprint,
    at,
    host,
    responses,
  }));
}
