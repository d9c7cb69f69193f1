/**
 * Detects crashes of replicas and the requests that ran there. A truncated
 * response alone isn't a crash, since connections also break for other reasons.
 * A replica has crashed if its address refuses connections right afterwards, if
 * it is removed from the listing without draining and no longer runs, or if
 * another host reports it.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import type { ProbeResult } from "../upstreams/probe.ts";
import { CrashTable } from "./crash_table.ts";
import type { CrashRule, CrashUpdate, Quarantine } from "./model.ts";

/**
 * A refused connection explains only sends that broke within this time before
 * it. It covers a probe and its repetition for sends that broke meanwhile.
 */
const REFUSED_WINDOW_MS = 1000;
/**
 * A removal from the listing explains only sends that broke within this time
 * before it. It covers three missed heartbeats and the next read of the
 * listing.
 */
const REMOVED_WINDOW_MS = 6000;
/** Bounds what a host writes into its row, which is limited to 64 KB. */
const WORST_BOUNDS = { minCount: 2, limit: 50 };
/**
 * Maximum number of replicas with stored broken sends, and of sends of each.
 */
const MAX_REPLICAS = 300;
const MAX_BROKEN_SENDS = 100;

/** How a crash was detected. */
type CrashSign = "refused" | "gone" | "told";

/** A send that ended without a complete response. */
type BrokenSend = {
  readonly fingerprint: string;
  readonly at: Milliseconds;
  /** Whether the replica's side ended it; otherwise this host timed out. */
  readonly endedByReplica: boolean;
  /** Whether a later probe found the replica listening. */
  hasListened: boolean;
};

/** The state of one incarnation of a replica. */
type WatchedReplica = {
  brokenSends: BrokenSend[];
  /** The probe in flight, which checks whether the replica still listens. */
  probing: Promise<void> | undefined;
  /** When the crash was detected. */
  crashedAt: Milliseconds | undefined;
};

/** How a send ended without a complete response. */
export type BrokenSendDetails = {
  readonly fingerprint: () => string;
  readonly endedByReplica: boolean;
};

/** Options of {@link CrashWatch}. */
export type CrashWatchOptions = {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count">;
  readonly rule: CrashRule;
  /** Whether a replica is draining, so that its end is planned. */
  readonly isDraining: (entry: ReplicaEntry) => boolean;
  /** Checks whether the replica listens, over any path. */
  readonly probe: (entry: ReplicaEntry) => Promise<ProbeResult>;
  /** Whether this incarnation still runs, although it is not listed. */
  readonly isAlive: (entry: ReplicaEntry) => Promise<boolean>;
};

/**
 * Called with updates that are new to this host; `from` is the sender,
 * undefined when this host detected the crash.
 */
export type CrashListener = (update: CrashUpdate, from: unknown) => void;

/** Detects crashes, and decides which requests are quarantined. */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #table: CrashTable;
  readonly #watched = new Map<string, WatchedReplica>();
  readonly #listeners: CrashListener[] = [];
  #rule: CrashRule;

  constructor(options: CrashWatchOptions) {
    this.#options = options;
    this.#rule = options.rule;
    this.#table = new CrashTable(options.rule);
  }

  /** Number of requests with recorded crashes. */
  get suspects(): number {
    return this.#table.size;
  }

  /** Number of quarantined requests. */
  get quarantined(): number {
    return this.#table.quarantines.size;
  }

  /** Replaces the rule and updates the quarantines. */
  setRule(rule: CrashRule): void {
    this.#rule = rule;
    this.#table.setRule(rule);
  }

  /** Calls `listener` with each update. */
  listen(listener: CrashListener): void {
    this.#listeners.push(listener);
  }

  /** Returns the request's quarantine, if it is in force. */
  quarantineOf(fingerprint: () => string): Quarantine | undefined {
    if (this.#table.quarantines.size === 0) return undefined;
    return this.#table.quarantineOf(fingerprint(), this.#options.clock.now());
  }

  /**
   * Waits for the probes of the replicas at which the request broke, if their
   * results may decide whether it is sent again after `sends` sends. That takes
   * one round trip, or the connect timeout if nothing responds.
   */
  async awaitProbes(fingerprint: () => string, sends: number): Promise<void> {
    const mayDecide = sends >= this.#rule.crashThreshold - 1 ||
      (this.#table.size > 0 && this.#table.has(fingerprint()));
    if (!mayDecide) return;
    const key = fingerprint();
    const probes = [...this.#watched.values()]
      .filter(({ brokenSends }) =>
        brokenSends.some((send) => send.fingerprint === key)
      )
      .map((watched) => watched.probing);
    await Promise.all(probes);
  }

  /** Clears the request: a replica returned a complete response. */
  noteAnswered(fingerprint: () => string): void {
    if (this.#table.size === 0 || !this.#table.has(fingerprint())) return;
    const at = this.#options.clock.now();
    const clearances = [{ fingerprint: fingerprint(), at }];
    this.merge({ records: [], clearances }, undefined);
  }

  /** Records that a send to the replica ended without a complete response. */
  noteBrokenSend(
    entry: ReplicaEntry,
    { fingerprint, endedByReplica }: BrokenSendDetails,
  ): void {
    if (this.#options.isDraining(entry)) return;
    const now = this.#options.clock.now();
    const watched = this.#watchedOf(entry.incarnation);
    removeBefore(watched, now - REMOVED_WINDOW_MS);
    if (watched.brokenSends.length >= MAX_BROKEN_SENDS) return;
    watched.brokenSends.push({
      fingerprint: fingerprint(),
      at: now,
      endedByReplica,
      hasListened: false,
    });
    const sinceCrash = now - (watched.crashedAt ?? -Infinity);
    if (sinceCrash <= REFUSED_WINDOW_MS) {
      return this.#noteCrash(entry.incarnation, "told");
    }
    if (endedByReplica) watched.probing ??= this.#probe(entry, watched);
  }

  /** Records that the replica's address refused a connection. */
  noteRefused(entry: ReplicaEntry): void {
    if (this.#options.isDraining(entry)) return;
    this.#noteCrash(entry.incarnation, "refused");
  }

  /**
   * Records that the replica was removed from the listing. It may have lost its
   * connection to the store only, so it is asked whether it still runs.
   */
  async noteRemoved(entry: ReplicaEntry): Promise<void> {
    const { clock, isDraining, isAlive } = this.#options;
    const { incarnation } = entry;
    const watched = this.#watched.get(incarnation);
    const removedAt = clock.now();
    const isSuspect = !isDraining(entry) &&
      watched?.brokenSends.some((send) =>
        mayHaveRunAtCrash(send, "gone", removedAt)
      );
    if (isSuspect && !await isAlive(entry)) {
      this.#noteCrash(incarnation, "gone", removedAt);
    }
    this.#watched.delete(incarnation);
  }

  /**
   * Merges an update of another host, or of this host if `from` is undefined.
   */
  merge(update: CrashUpdate, from: unknown): void {
    const before = this.#table.quarantines;
    const changes = this.#table.merge(update, this.#options.clock.now());
    if (changes.records.length + changes.clearances.length === 0) return;
    this.#noteChange(before);
    for (const listener of this.#listeners) listener(changes, from);
    if (from === undefined) return;
    const crashed = new Set(
      changes.records.map((record) => record.incarnation),
    );
    for (const incarnation of crashed) this.#noteCrash(incarnation, "told");
  }

  /** All records and clearances, for a host that has just connected. */
  all(): CrashUpdate {
    return this.#table.all(this.#options.clock.now());
  }

  /** Records and clearances of the requests with the most crashes. */
  worst(): CrashUpdate {
    return this.#table.worst(WORST_BOUNDS, this.#options.clock.now());
  }

  async #probe(entry: ReplicaEntry, watched: WatchedReplica): Promise<void> {
    const { clock, probe, metrics } = this.#options;
    for (;;) {
      const startedAt = clock.now();
      const result = await probe(entry);
      metrics.count(`crash_probes_${result}`);
      if (result === "refused") this.noteRefused(entry);
      if (result !== "listens") break;
      for (const send of watched.brokenSends) {
        if (send.at <= startedAt) send.hasListened = true;
      }
      const isPending = watched.brokenSends.some((send) => isUnexplained(send));
      if (!isPending) break;
    }
    watched.probing = undefined;
  }

  /** Records the requests that ran at a replica that has crashed. */
  #noteCrash(
    incarnation: string,
    sign: CrashSign,
    now = this.#options.clock.now(),
  ): void {
    const watched = this.#watched.get(incarnation);
    if (!watched) return;
    watched.crashedAt = now;
    const ran = watched.brokenSends.filter((send) =>
      mayHaveRunAtCrash(send, sign, now)
    );
    if (ran.length === 0) return;
    watched.brokenSends = [];
    const records = ran.map(({ fingerprint, at }) => ({
      fingerprint,
      incarnation,
      at,
    }));
    this.#options.metrics.count("replica_crashes");
    this.#options.events.note("replicaCrashed", {
      replica: incarnation,
      sign,
      requests: records.length,
      fingerprints: records.slice(0, 4).map((record) => record.fingerprint)
        .join(),
    });
    this.merge({ records, clearances: [] }, undefined);
  }

  #watchedOf(incarnation: string): WatchedReplica {
    const known = this.#watched.get(incarnation);
    if (known) return known;
    evictOldest(this.#watched, MAX_REPLICAS - 1);
    const watched = {
      brokenSends: [],
      probing: undefined,
      crashedAt: undefined,
    };
    this.#watched.set(incarnation, watched);
    return watched;
  }

  #noteChange(before: ReadonlyMap<string, Quarantine>): void {
    const { events } = this.#options;
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

/**
 * Whether the replica's side ended the send and no probe found it listening.
 */
function isUnexplained(
  { endedByReplica, hasListened }: BrokenSend,
): boolean {
  return endedByReplica && !hasListened;
}

/** Whether the send may have broken by the detected crash. */
function mayHaveRunAtCrash(
  send: BrokenSend,
  sign: CrashSign,
  now: Milliseconds,
): boolean {
  if (sign === "gone") return now - send.at <= REMOVED_WINDOW_MS;
  return isUnexplained(send) && now - send.at <= REFUSED_WINDOW_MS;
}

function removeBefore(watched: WatchedReplica, oldest: Milliseconds): void {
  watched.brokenSends = watched.brokenSends.filter((send) => send.at > oldest);
}
