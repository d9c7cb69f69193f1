/**
 * Finds out which requests ran at a replica when it crashed. An answer that
 * breaks off is no crash: connections are reset, answers cut, halls cut off. A
 * replica has crashed if nothing listens at its address right after the break,
 * if it goes from the listing without having left, or if another host says so.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { forgetOldest } from "../../util/forget_oldest.ts";
import type { ProbeResult } from "../upstreams/probe.ts";
import { CrashTable } from "./crash_table.ts";
import type { CrashNews, CrashRule, Quarantine } from "./model.ts";

/**
 * A break that lies longer back was not the crash that a refused connection
 * shows: a probe takes up to 400 ms, and is repeated for breaks meanwhile.
 */
const REFUSED_WINDOW_MS = 1000;
/**
 * A replica's entry goes after three of its heartbeats (of 1.2 s), and the
 * listing is read each 700 ms: who broke longer ago did not break by its crash.
 */
const GONE_WINDOW_MS = 6000;
/** What a host's row has: 50 requests are at most 40 KB, of 64 KB a row. */
const WORST = { least: 2, most: 50 };
/** Replicas of which broken sends are kept, and sends of each. */
const MOST_REPLICAS = 300;
const MOST_BREAKS = 100;

/** How a replica is known to have crashed. */
type CrashSign = "refused" | "gone" | "told";

/** A send that ended without a whole answer. */
type Break = {
  readonly fingerprint: string;
  readonly at: Milliseconds;
  /** The replica's side ended it; else this host did, tired of waiting. */
  readonly isByReplica: boolean;
  /** The replica was seen to listen afterwards. */
  hasListened: boolean;
};

/** What is remembered of one start of a replica. */
type Watched = {
  breaks: Break[];
  /** Under way: whether the replica still listens. */
  probing: Promise<void> | undefined;
  /** When it was found to have crashed. */
  crashedAt: Milliseconds | undefined;
};

/** How a send went wrong. */
export type SendBreak = {
  readonly fingerprint: () => string;
  readonly isByReplica: boolean;
};

/** What a watch is made from. */
export type CrashWatchSource = {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count">;
  readonly rule: CrashRule;
  /** Whether a replica's end is planned. */
  readonly isLeaving: (entry: ReplicaEntry) => boolean;
  /** Whether something listens at an address. */
  readonly probe: (address: string) => Promise<ProbeResult>;
};

/** Told what is news here; `from` is whom it came from, if not this host. */
export type CrashListener = (news: CrashNews, from: unknown) => void;

/** The crashes that this host knows of. */
export class CrashWatch {
  readonly #source: CrashWatchSource;
  readonly #table: CrashTable;
  readonly #watched = new Map<string, Watched>();
  readonly #listeners: CrashListener[] = [];
  #rule: CrashRule;

  constructor(source: CrashWatchSource) {
    this.#source = source;
    this.#rule = source.rule;
    this.#table = new CrashTable(source.rule);
  }

  /** Requests of which a crash is known. */
  get suspects(): number {
    return this.#table.size;
  }

  /** Requests that are sent to no replica. */
  get quarantined(): number {
    return this.#table.quarantines.size;
  }

  /** Puts another rule in force. */
  change(rule: CrashRule): void {
    this.#rule = rule;
    this.#table.change(rule);
  }

  /** Calls `listener` with all that becomes known. */
  listen(listener: CrashListener): void {
    this.#listeners.push(listener);
  }

  /** Why the request may not be sent to a replica; undefined: it may. */
  quarantineOf(fingerprint: () => string): Quarantine | undefined {
    if (this.#table.quarantines.size === 0) return undefined;
    return this.#table.quarantineOf(fingerprint(), this.#source.clock.now());
  }

  /**
   * Resolves when it is known whether the replicas at which the request broke
   * have crashed, where that may decide whether it is sent again after `sends`
   * sends. It takes one way there and back; 400 ms where nobody answers.
   */
  async settled(fingerprint: () => string, sends: number): Promise<void> {
    const mayDecide = sends >= this.#rule.most - 1 ||
      (this.#table.size > 0 && this.#table.has(fingerprint()));
    if (!mayDecide) return;
    const name = fingerprint();
    const probes = [...this.#watched.values()]
      .filter(({ breaks }) => breaks.some((one) => one.fingerprint === name))
      .map((one) => one.probing);
    await Promise.all(probes);
  }

  /** The request was answered whole by a replica. */
  answered(fingerprint: () => string): void {
    if (this.#table.size === 0 || !this.#table.has(fingerprint())) return;
    const at = this.#source.clock.now();
    const acquittals = [{ fingerprint: fingerprint(), at }];
    this.take({ records: [], acquittals }, undefined);
  }

  /** A send to the replica ended without a whole answer. */
  sendBroke(
    entry: ReplicaEntry,
    { fingerprint, isByReplica }: SendBreak,
  ): void {
    if (this.#source.isLeaving(entry)) return;
    const now = this.#source.clock.now();
    const watched = this.#watch(entry.incarnation);
    dropBefore(watched, now - GONE_WINDOW_MS);
    if (watched.breaks.length >= MOST_BREAKS) return;
    watched.breaks.push({
      fingerprint: fingerprint(),
      at: now,
      isByReplica,
      hasListened: false,
    });
    const sinceCrash = now - (watched.crashedAt ?? -Infinity);
    if (sinceCrash <= REFUSED_WINDOW_MS) {
      return this.#crashed(entry.incarnation, "told");
    }
    if (isByReplica) watched.probing ??= this.#probe(entry, watched);
  }

  /** Nothing listens at the replica's address. */
  refused(entry: ReplicaEntry): void {
    if (this.#source.isLeaving(entry)) return;
    this.#crashed(entry.incarnation, "refused");
  }

  /** The listing has it no more. */
  gone(entry: ReplicaEntry): void {
    const { incarnation } = entry;
    if (!this.#source.isLeaving(entry)) this.#crashed(incarnation, "gone");
    this.#watched.delete(incarnation);
  }

  /** Takes what another host knows, or what was found out here. */
  take(news: CrashNews, from: unknown): void {
    const before = this.#table.quarantines;
    const fresh = this.#table.take(news, this.#source.clock.now());
    if (fresh.records.length + fresh.acquittals.length === 0) return;
    this.#noteChange(before);
    for (const listener of this.#listeners) listener(fresh, from);
    if (from === undefined) return;
    const told = new Set(fresh.records.map((one) => one.incarnation));
    for (const one of told) this.#crashed(one, "told");
  }

  /** All that is known, for a host that may know nothing. */
  all(): CrashNews {
    return this.#table.all(this.#source.clock.now());
  }

  /** What is known of requests under which several replicas crashed. */
  worst(): CrashNews {
    return this.#table.worst(WORST, this.#source.clock.now());
  }

  async #probe(entry: ReplicaEntry, watched: Watched): Promise<void> {
    const { clock, probe, metrics } = this.#source;
    for (;;) {
      const startedAt = clock.now();
      const result = await probe(entry.address);
      metrics.count(`crash_probes_${result}`);
      if (result === "refused") this.refused(entry);
      if (result !== "listens") break;
      for (const one of watched.breaks) {
        if (one.at <= startedAt) one.hasListened = true;
      }
      const isOpen = watched.breaks.some((one) => isUnseen(one));
      if (!isOpen) break;
    }
    watched.probing = undefined;
  }

  /** Records who ran at a replica that has crashed. */
  #crashed(incarnation: string, sign: CrashSign): void {
    const watched = this.#watched.get(incarnation);
    if (!watched) return;
    const now = this.#source.clock.now();
    watched.crashedAt = now;
    const ran = watched.breaks.filter((one) => ranAtEnd(one, sign, now));
    if (ran.length === 0) return;
    watched.breaks = [];
    const records = ran.map(({ fingerprint, at }) => ({
      fingerprint,
      incarnation,
      at,
    }));
    this.#source.metrics.count("replica_crashes");
    this.#source.events.note("replicaCrashed", {
      replica: incarnation,
      sign,
      requests: records.length,
      fingerprints: records.slice(0, 4).map((one) => one.fingerprint).join(),
    });
    this.take({ records, acquittals: [] }, undefined);
  }

  #watch(incarnation: string): Watched {
    const known = this.#watched.get(incarnation);
    if (known) return known;
    forgetOldest(this.#watched, MOST_REPLICAS - 1);
    const watched = { breaks: [], probing: undefined, crashedAt: undefined };
    this.#watched.set(incarnation, watched);
    return watched;
  }

  #noteChange(before: ReadonlyMap<string, Quarantine>): void {
    const { events } = this.#source;
    const { quarantines } = this.#table;
    for (const [fingerprint, { incarnations }] of quarantines) {
      if (before.has(fingerprint)) continue;
      const replicas = incarnations.join();
      events.note("quarantined", { fingerprint, replicas });
    }
    for (const fingerprint of before.keys()) {
      if (quarantines.has(fingerprint)) continue;
      events.note("quarantineLifted", { fingerprint });
    }
  }
}

/** The replica's side ended the send, and it was not seen to listen since. */
function isUnseen({ isByReplica, hasListened }: Break): boolean {
  return isByReplica && !hasListened;
}

/** Whether the send may have ended by the crash that the sign tells of. */
function ranAtEnd(one: Break, sign: CrashSign, now: Milliseconds): boolean {
  if (sign === "gone") return now - one.at <= GONE_WINDOW_MS;
  return isUnseen(one) && now - one.at <= REFUSED_WINDOW_MS;
}

function dropBefore(watched: Watched, oldest: Milliseconds): void {
  watched.breaks = watched.breaks.filter((one) => one.at > oldest);
}
