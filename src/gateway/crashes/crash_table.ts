/**
 * Which requests crash the replicas that run them: a set of (request, crashed
 * replica), the same at all hosts once each has told the others what it has
 * seen. Records merge in any order, and twice without harm. No clock, no
 * network: time is an argument.
 *
 * All that ran at a replica saw the same end, so a request is blamed for those
 * crashes only that no worse one explains: the request with the most crashes is
 * taken first, and its crashes count for nobody else. Replicas that crash in the
 * same moment have a cause in common, which a request is not that ran at one of
 * them only. One that is answered whole is acquitted of all that came before.
 */
import type { Milliseconds } from "../../util/units.ts";
import type {
  Acquittal,
  CrashNews,
  CrashRecord,
  CrashRule,
  Quarantine,
} from "./model.ts";

/**
 * Crashes beyond `most` after which also a request is blamed that another
 * accompanied each time. Up to then it is open which of the two it is: the one
 * that is sent again alone shows it.
 */
const MORE_IN_COMPANY = 2;
/**
 * Replicas that crash within this time of each other crash together: hosts see
 * those of one cause in a few milliseconds.
 */
const TOGETHER_MS = 50;
/**
 * Requests that are kept. Callers can make requests at will, but each costs a
 * crash: 1,000 are those of fifty replicas with twenty requests each.
 */
const MOST_REQUESTS = 1000;
/**
 * Crashes that are kept of one request; more decide nothing. All that is kept is
 * less than 800 KB as a message, so a link that may hold 1 MB takes it.
 */
const MOST_CRASHES = 8;

type Suspect = {
  /** When each replica crashed under the request. */
  readonly crashes: Map<string, Milliseconds>;
  /** Undefined: it was never answered whole since it is suspected. */
  answeredAt: Milliseconds | undefined;
};

/** Requests and the replicas that crashed under them. */
export class CrashTable {
  #rule: CrashRule;
  readonly #suspects = new Map<string, Suspect>();
  #quarantines: ReadonlyMap<string, Quarantine> = new Map();

  constructor(rule: CrashRule) {
    this.#rule = rule;
  }

  /** Requests of which a crash is known. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Requests that are sent to no replica. */
  get quarantines(): ReadonlyMap<string, Quarantine> {
    return this.#quarantines;
  }

  /** Puts another rule in force. */
  change(rule: CrashRule): void {
    this.#rule = rule;
    this.#judge();
  }

  /** Whether a crash under the request is known. */
  has(fingerprint: string): boolean {
    return this.#suspects.has(fingerprint);
  }

  /** Why the request may not be sent; undefined: it may. */
  quarantineOf(fingerprint: string, now: Milliseconds): Quarantine | undefined {
    const quarantine = this.#quarantines.get(fingerprint);
    return quarantine && now < quarantine.until ? quarantine : undefined;
  }

  /** Takes what was seen here or elsewhere; gives what of it is news. */
  take(news: CrashNews, now: Milliseconds): CrashNews {
    this.#forget(now);
    const records = news.records.filter((one) => this.#add(one, now));
    const acquittals = news.acquittals.filter((one) => this.#acquit(one));
    if (records.length + acquittals.length > 0) this.#judge();
    return { records, acquittals };
  }

  /** All that is known, for a host that may know nothing. */
  all(now: Milliseconds): CrashNews {
    this.#forget(now);
    return this.#newsOf([...this.#suspects]);
  }

  /**
   * What is known of requests under which `least` replicas crashed, of those with
   * the most first; of `most` requests.
   */
  worst(
    { least, most }: { readonly least: number; readonly most: number },
    now: Milliseconds,
  ): CrashNews {
    this.#forget(now);
    const entries = [...this.#suspects]
      .map((one) => ({ one, count: countedOf(one[1]).length }))
      .filter(({ count }) => count >= least)
      .sort((a, b) => b.count - a.count)
      .slice(0, most);
    return this.#newsOf(entries.map(({ one }) => one));
  }

  #newsOf(entries: readonly (readonly [string, Suspect])[]): CrashNews {
    const records = entries.flatMap(([fingerprint, { crashes }]) =>
      [...crashes].map(([incarnation, at]) => ({
        fingerprint,
        incarnation,
        at,
      }))
    );
    const acquittals = entries.flatMap(([fingerprint, { answeredAt }]) =>
      answeredAt === undefined ? [] : [{ fingerprint, at: answeredAt }]
    );
    return { records, acquittals };
  }

  #add(record: CrashRecord, now: Milliseconds): boolean {
    const { fingerprint, incarnation, at } = record;
    if (now - at >= this.#rule.lifeMs) return false;
    const known = this.#suspects.get(fingerprint);
    if (known?.crashes.has(incarnation)) return false;
    if (known && known.crashes.size >= MOST_CRASHES) return false;
    const suspect = known ?? { crashes: new Map(), answeredAt: undefined };
    suspect.crashes.set(incarnation, at);
    if (known) return true;
    this.#suspects.set(fingerprint, suspect);
    if (this.#suspects.size > MOST_REQUESTS) this.#dropLeast(fingerprint);
    return this.#suspects.has(fingerprint);
  }

  /** The oldest of those with the fewest crashes goes, not the newest. */
  #dropLeast(newest: string): void {
    let least: string | undefined;
    let fewest = Infinity;
    for (const [fingerprint, { crashes }] of this.#suspects) {
      if (fingerprint === newest || crashes.size >= fewest) continue;
      fewest = crashes.size;
      least = fingerprint;
      if (fewest === 1) break;
    }
    if (least !== undefined) this.#suspects.delete(least);
  }

  #acquit({ fingerprint, at }: Acquittal): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect || at <= (suspect.answeredAt ?? -Infinity)) return false;
    const before = countedOf(suspect).length;
    suspect.answeredAt = at;
    return countedOf(suspect).length < before;
  }

  /** Requests with enough crashes, and those of them that count. */
  #candidates(most: number): Map<string, readonly string[]> {
    const found = [...this.#suspects]
      .filter(([, { crashes }]) => crashes.size >= most);
    if (found.length === 0) return new Map();
    const times = this.#crashTimes();
    return new Map(found.map(([fingerprint, suspect]) => {
      const counted = countedOf(suspect)
        .filter((one) => !hasOtherCause(one, suspect, times));
      return [fingerprint, counted] as const;
    }));
  }

  /** When each replica crashed, as far as is known. */
  #crashTimes(): Map<string, Milliseconds> {
    const times = new Map<string, Milliseconds>();
    for (const { crashes } of this.#suspects.values()) {
      for (const [incarnation, at] of crashes) {
        times.set(incarnation, Math.min(at, times.get(incarnation) ?? at));
      }
    }
    return times;
  }

  /** A request is forgotten when no replica has crashed under it for so long. */
  #forget(now: Milliseconds): void {
    const oldest = now - this.#rule.lifeMs;
    for (const [fingerprint, { crashes }] of this.#suspects) {
      const last = Math.max(...crashes.values());
      if (last <= oldest) this.#suspects.delete(fingerprint);
    }
  }

  #judge(): void {
    const { most, lifeMs } = this.#rule;
    const left = this.#candidates(most);
    const quarantines = new Map<string, Quarantine>();
    const undecided: (readonly string[])[] = [];
    for (;;) {
      const worst = worstOf(left, most);
      if (!worst) break;
      const [fingerprint, incarnations] = worst;
      left.delete(fingerprint);
      const others = [...left.values(), ...undecided];
      const isAccompanied = others.some((crashes) =>
        incarnations.every((one) => crashes.includes(one))
      );
      const enough = isAccompanied ? most + MORE_IN_COMPANY : most;
      if (incarnations.length < enough) {
        undecided.push(incarnations);
        continue;
      }
      const times = this.#suspects.get(fingerprint)?.crashes.values() ?? [];
      const until = Math.max(...times) + lifeMs;
      quarantines.set(fingerprint, { incarnations, until });
      for (const [other, crashes] of left) {
        const unexplained = crashes.filter((one) =>
          !incarnations.includes(one)
        );
        left.set(other, unexplained);
      }
    }
    this.#quarantines = quarantines;
  }
}

/** The crashes since the request was last answered whole. */
function countedOf({ crashes, answeredAt = -Infinity }: Suspect): string[] {
  return [...crashes].filter(([, at]) => at > answeredAt)
    .map(([incarnation]) => incarnation);
}

/**
 * Another replica crashed together with it, and the request wasn't there: then a
 * cause in common (a rack, a release, an operator) has ended both.
 */
function hasOtherCause(
  incarnation: string,
  { crashes }: Suspect,
  times: ReadonlyMap<string, Milliseconds>,
): boolean {
  const at = times.get(incarnation) ?? 0;
  for (const [other, otherAt] of times) {
    if (crashes.has(other)) continue;
    if (Math.abs(at - otherAt) <= TOGETHER_MS) return true;
  }
  return false;
}

/** The request with the most crashes; at all hosts the same. */
function worstOf(
  left: ReadonlyMap<string, readonly string[]>,
  least: number,
): readonly [string, readonly string[]] | undefined {
  let worst: readonly [string, readonly string[]] | undefined;
  for (const one of left) {
    const [fingerprint, { length }] = one;
    if (length < least) continue;
    const most = worst?.[1].length ?? 0;
    const isWorse = length > most ||
      (length === most && fingerprint < (worst?.[0] ?? ""));
    if (isWorse) worst = one;
  }
  return worst;
}
