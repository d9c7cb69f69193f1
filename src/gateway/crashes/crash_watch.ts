/**
 * Detects crashes of replicas and the requests that ran there. A truncated
 * response alone isn't a crash, since connections also break for other reasons.
 * A replica has crashed if its address refuses connections right afterwards, if
 * it is removed from the listing without draining and no longer runs, or if
 * another host reports it.
 */
import type { Metrics } from "../observe/metrics.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import {
  type BrokenSendDetails,
  BrokenSends,
  type CrashSign,
} from "./broken_sends.ts";
import { countParts, crashRecordsOf } from "./crash_records.ts";
import { CrashTable } from "./crash_table.ts";
import {
  EndConfirmation,
  type EndConfirmationOptions,
} from "./end_confirmation.ts";
import type { Fingerprints } from "./fingerprint.ts";
import type { Clearance, CrashRule, CrashUpdate, Quarantine } from "./model.ts";
import { RecentResponses } from "./recent_responses.ts";

/** Bounds what a host writes into its row, which is limited to 64 KB. */
const WORST_BOUNDS = { minCount: 2, limit: 30 };

/** Options of {@link CrashWatch}. */
export type CrashWatchOptions = EndConfirmationOptions & {
  readonly metrics: Pick<Metrics, "count">;
  /** The id of this host. */
  readonly host: string;
  readonly rule: CrashRule;
  /** Whether a replica is draining, so that its end is planned. */
  readonly isDraining: (entry: ReplicaEntry) => boolean;
  /** Number of listed replicas of the same service and stage. */
  readonly countReplicas: (entry: ReplicaEntry) => number;
  /** Whether this incarnation still runs, although it is not listed. */
  readonly isAlive: (entry: ReplicaEntry) => Promise<boolean>;
};

/**
 * Called with updates that are new to this host; `from` is the sender,
 * undefined when this host detected the crash.
 */
export type CrashListener = (update: CrashUpdate, from: unknown) => void;

/** Detects crashes, and tells which requests are quarantined. */
export class CrashWatch {
  /** Checks replicas whose responses ended without a confirmation. */
  readonly ends: EndConfirmation;
  readonly #options: CrashWatchOptions;
  readonly #table: CrashTable;
  readonly #brokenSends = new BrokenSends();
  readonly #responses: RecentResponses;
  /** The probes in flight, by incarnation. */
  readonly #probing = new Map<string, Promise<void>>();
  readonly #listeners: CrashListener[] = [];
  #rule: CrashRule;

  constructor(options: CrashWatchOptions) {
    this.#options = options;
    this.ends = new EndConfirmation(options);
    this.#responses = new RecentResponses(options.host);
    this.#rule = options.rule;
    this.#table = new CrashTable(options.rule);
  }

  /** Number of requests with recorded crashes. */
  get suspects(): number {
    return this.#table.size;
  }

  /** Number of quarantined requests and parts of prompts. */
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

  /**
   * Returns the quarantine of the request or of a part of its prompt, if one is
   * in force.
   */
  quarantineOf({ request, parts }: Fingerprints): Quarantine | undefined {
    if (this.#table.quarantines.size === 0) return undefined;
    const now = this.#options.clock.now();
    for (const fingerprint of [request(), ...parts()]) {
      const quarantine = this.#table.quarantineOf(fingerprint, now);
      if (quarantine) return quarantine;
    }
    return undefined;
  }

  /**
   * Waits for the probes of the replicas at which the request broke, if their
   * results may decide whether it is sent again after `sends` sends. That takes
   * one round trip, or the connect timeout if nothing responds.
   */
  async awaitProbes(
    { request, parts }: Fingerprints,
    sends: number,
  ): Promise<void> {
    const mayDecide = sends >= this.#rule.crashThreshold - 1 ||
      (this.#table.size > 0 && (this.#table.has(request()) ||
        parts().some((part) => this.#table.isNearQuarantine(part))));
    if (!mayDecide) return;
    const probes = this.#brokenSends.replicasOf(request())
      .map((incarnation) => this.#probing.get(incarnation));
    await Promise.all(probes);
  }

  /**
   * Clears the request: a replica returned a complete response. A successful one
   * clears the parts of its prompt, too; the replica may return an error before
   * it begins to use them. Counted also if no crash is recorded, since the
   * request may run at a replica that crashes later.
   */
  noteAnswered(fingerprints: Fingerprints, isSuccess = true): void {
    const { isCostly, request, parts, service } = fingerprints;
    const isCounted = !isCostly || this.#isRecorded(fingerprints);
    const answered = [
      ...(isCounted ? [request()] : []),
      ...(isSuccess ? parts() : []),
    ];
    const at = this.#options.clock.now();
    for (const fingerprint of answered) this.#responses.note(fingerprint, at);
    if (this.#table.size === 0) return;
    const clearances = this.#clearancesOf(answered);
    if (isSuccess) {
      clearances.push(this.#responses.serviceClearance(service(), at));
    }
    this.merge({ records: [], clearances }, undefined);
  }

  /**
   * Clears the request if its replica still runs after a response whose end
   * its framing does not confirm: otherwise a crash may have cut it. If the end
   * was just confirmed by a probe, that one counts.
   */
  async noteUnconfirmed(
    entry: ReplicaEntry,
    fingerprints: Fingerprints,
  ): Promise<void> {
    // A response without a recorded crash is not worth a probe.
    const isConfirmed = this.#isRecorded(fingerprints)
      ? await this.ends.confirmOnce(entry)
      : this.ends.isConfirmed(entry);
    if (isConfirmed) this.noteAnswered(fingerprints);
  }

  #isRecorded({ request }: Fingerprints): boolean {
    return this.#table.size > 0 && this.#table.has(request());
  }

  /** Records that a send to the replica ended without a complete response. */
  noteBrokenSend(entry: ReplicaEntry, details: BrokenSendDetails): void {
    if (this.#options.isDraining(entry)) return;
    const now = this.#options.clock.now();
    const { incarnation } = entry;
    const replicas = this.#options.countReplicas(entry);
    const send = { ...details, replicas, now };
    if (!this.#brokenSends.add(incarnation, send)) return;
    if (this.#brokenSends.hasJustCrashed(incarnation, now)) {
      return this.#noteCrash(incarnation, "told");
    }
    if (!details.endedByReplica || this.#probing.has(incarnation)) return;
    this.#probing.set(incarnation, this.#probe(entry));
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
    const removedAt = clock.now();
    const isSuspect = !isDraining(entry) &&
      this.#brokenSends.mayHaveCrashed(incarnation, removedAt);
    if (isSuspect && !await isAlive(entry)) {
      this.#noteCrash(incarnation, "gone", removedAt);
    }
    this.#brokenSends.removeReplica(incarnation);
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
    this.#reportResponses(changes);
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

  /** Records and clearances of the requests and parts with the most crashes. */
  worst(): CrashUpdate {
    return this.#table.worst(WORST_BOUNDS, this.#options.clock.now());
  }

  /** Reports this host's responses of what has become a suspect. */
  #reportResponses({ records }: CrashUpdate): void {
    const fingerprints = new Set(records.map((record) => record.fingerprint));
    const accepted = [...fingerprints].filter((fingerprint) =>
      this.#table.acceptsResponses(fingerprint)
    );
    const clearances = this.#clearancesOf(accepted);
    if (clearances.length > 0) {
      this.merge({ records: [], clearances }, undefined);
    }
  }

  /** What this host has seen of the suspects' recent responses. */
  #clearancesOf(fingerprints: readonly string[]): Clearance[] {
    const since = this.#options.clock.now() - this.#rule.ttlMs;
    return this.#responses.clearancesOf(fingerprints, since);
  }

  /** Probes the replica until no broken send is unexplained. */
  async #probe(entry: ReplicaEntry): Promise<void> {
    const { clock, probe, metrics } = this.#options;
    const { incarnation } = entry;
    for (;;) {
      const startedAt = clock.now();
      const result = await probe(entry);
      metrics.count(`crash_probes_${result}`);
      if (result === "refused") this.noteRefused(entry);
      if (result !== "listens") break;
      if (!this.#brokenSends.noteListening(incarnation, startedAt)) break;
    }
    this.#probing.delete(incarnation);
  }

  /** Records the requests that ran at a replica that has crashed. */
  #noteCrash(
    incarnation: string,
    sign: CrashSign,
    now = this.#options.clock.now(),
  ): void {
    const sends = this.#brokenSends.takeCrashed(incarnation, { sign, now });
    if (sends.length === 0) return;
    this.#options.metrics.count("replica_crashes");
    this.#options.events.note("replicaCrashed", {
      replica: incarnation,
      sign,
      requests: sends.length,
      fingerprints: sends.slice(0, 4).map((send) => send.fingerprint).join(),
      parts: countParts(sends),
    });
    const records = crashRecordsOf(sends, incarnation);
    this.merge({ records, clearances: [] }, undefined);
  }

  #noteChange(before: ReadonlyMap<string, Quarantine>): void {
    const { events } = this.#options;
    const { quarantines } = this.#table;
    for (const { fingerprint, ...quarantine } of quarantines.values()) {
      if (before.has(fingerprint)) continue;
      const { kind, incarnations, responses } = quarantine;
      const replicas = incarnations.join();
      events.note("quarantined", { kind, fingerprint, replicas, responses });
    }
    for (const fingerprint of before.keys()) {
      if (quarantines.has(fingerprint)) continue;
      events.note("quarantineLifted", { fingerprint });
    }
  }
}
