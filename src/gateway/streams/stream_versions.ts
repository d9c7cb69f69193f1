/**
 * The record of the software versions that began streams. A stream may go on
 * only at a replica of the version that began it, and its client may take it up
 * at any host. See docs/design/stream_versions.md.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { HostEntry } from "../port.ts";
import type { ReplicaTable } from "../replicas/replica_table.ts";
import { afterRunning } from "../running_timer.ts";
import type { JsonClient } from "../upstreams/json_client.ts";
import type { ArchiveStore } from "./archive_writer.ts";
import { resolveInTime } from "./ask_again.ts";
import { KeeperClient } from "./keeper_client.ts";
import { KeeperServer } from "./keeper_server.ts";
import { KeeperChooser } from "./keepers.ts";
import {
  isRecordable,
  MAX_RECORD_TTL_MS,
  type SoftwareVersion,
  type StreamKey,
  type StreamRecord,
  type VersionBinding,
} from "./model.ts";
import { noteResolution } from "./note_resolution.ts";
import { RecordSender } from "./record_sender.ts";
import { type Resolution, resolveVersion } from "./resolve_version.ts";
import { StreamArchive } from "./stream_archive.ts";
import { VersionHistory, type VersionState } from "./version_history.ts";
import type { VersionReport } from "./version_report.ts";
import { VersionTable } from "./version_table.ts";

export type { StreamKey, VersionBinding } from "./model.ts";

/**
 * Age of the listing from which another version may have begun streams
 * elsewhere without this host knowing.
 */
const MAX_LISTING_AGE_MS = 3000;
/**
 * Age of the listing up to which the only version is inferred without a read of
 * the store. Readers confirm the listing more often.
 */
const RECENT_LISTING_MS = 1500;
/** Interval at which the listing is read again while streams are sent. */
const LISTING_INTERVAL_MS = 100;
/** Records sent at a time of those made before a service became mixed. */
const BACKLOG_CHUNK_RECORDS = 500;
const BACKLOG_INTERVAL_MS = 20;

/**
 * Longest wait for a keeper before a stream goes on without one. A keeper that
 * responds takes a round trip; only hosts without any wait as long.
 */
const KEPT_TIMEOUT_MS = 250;

/** In place of an id that nobody records, to learn the versions alone. */
const NO_STREAM = "-";

/** Options of {@link StreamVersions}. */
export type StreamVersionsOptions = {
  readonly self: HostEntry & {
    /** Identifies this run of the process. */
    readonly run: string;
  };
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count">;
  readonly replicas: Pick<ReplicaTable, "entries">;
  /** The other hosts; the same array as long as none changes. */
  readonly hosts: () => readonly HostEntry[];
  /** Time for which the streams of a service may be resumed. */
  readonly resumableForMs: (service: string) => Milliseconds;
  /**
   * Age of the newest listing that this host knows, which a message that waited
   * in a socket doesn't lower.
   */
  readonly listingAgeMs: () => Milliseconds;
  /**
   * Reads the listing from the store; resolves to whether it is current now.
   * Calls at about the same time may share a read.
   */
  readonly confirmListing: () => Promise<boolean>;
  /** Creates an HTTP client for a peer's address. */
  readonly createClient: (address: string) => JsonClient;
  /** Where streams are recorded that have to outlast all hosts. */
  readonly store: ArchiveStore;
};

/** The versions of streams, as far as this host or its keepers know them. */
export class StreamVersions {
  /** Keeps records for other hosts. */
  readonly server: KeeperServer;
  readonly #options: StreamVersionsOptions;
  readonly #origin: string;
  readonly #table = new VersionTable();
  readonly #history: VersionHistory;
  readonly #chooser: KeeperChooser;
  readonly #client: KeeperClient;
  readonly #sender: RecordSender;
  readonly #archive: StreamArchive;
  /** Services whose records are sent to keepers. */
  readonly #sharedServices = new Set<string>();
  #observedAt: Milliseconds = -Infinity;
  #order = 0;

  constructor(options: StreamVersionsOptions) {
    const { self: { run, ...self }, clock, hosts } = options;
    this.#options = options;
    this.#origin = `${self.id}@${run}`;
    this.#history = new VersionHistory(options.resumableForMs);
    this.#chooser = new KeeperChooser(self);
    this.#client = new KeeperClient(options);
    this.#sender = new RecordSender({
      ...options,
      origin: this.#origin,
      client: this.#client,
      chooseKeepers: (stream) => this.#chooser.of(stream, hosts()),
      isReplaced: (record) => this.#table.isReplaced(record),
    });
    this.#archive = new StreamArchive({
      ...options,
      origin: this.#origin,
      client: this.#client,
      chooseWriters: (service) => this.#chooser.writersOf(service, hosts()),
    });
    this.server = new KeeperServer({
      table: this.#table,
      history: this.#history,
      archive: (records) => this.#archive.write(records),
      isListingFresh: () => this.#isListingFresh,
      now: clock.now,
    });
  }

  /** Number of records at this host, expired ones included. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Records that a stream is sent to a replica of a version. `ttlMs` is the time
   * for which its client may resume it. A later call for the same stream
   * replaces the record.
   *
   * Resolves to true when any host can resume the stream although this one ends:
   * a keeper has the record, or none is needed. Without that it resolves if no
   * keeper accepts it in time, to false if others may have a record of another
   * version: the stream must not begin, since they would resume it there.
   */
  note(
    stream: StreamKey,
    softwareVersion: SoftwareVersion,
    ttlMs: Milliseconds,
  ): Promise<boolean> {
    const now = this.#options.clock.now();
    const boundedTtlMs = Math.min(MAX_RECORD_TTL_MS, Math.max(0, ttlMs));
    const { service } = stream;
    if (now - this.#observedAt >= LISTING_INTERVAL_MS) this.#observe(now);
    const use = { service, softwareVersion, ttlMs: boundedTtlMs };
    this.#history.noteUse(use, now);
    if (!isRecordable(stream)) return Promise.resolve(true);
    this.#order += 1;
    const record: StreamRecord = {
      stream,
      softwareVersion,
      origin: this.#origin,
      order: this.#order,
      isContradicted: this.#isContradicted(stream, softwareVersion),
      hasBegun: this.#table.get(stream, now)?.hasBegun === true,
      expiresAt: now + boundedTtlMs,
    };
    // Before the record is set, so that it is not sent with the backlog, too.
    this.#updateService(service, now);
    this.#table.set(record, now);
    if (!this.#sharedServices.has(service)) return Promise.resolve(true);
    return this.#sendInTime(record);
  }

  /**
   * Records that the caller of a stream has received its first event, after
   * which its version doesn't change.
   */
  noteBegun(stream: StreamKey): void {
    const now = this.#options.clock.now();
    const record = this.#table.get(stream, now);
    if (record?.origin !== this.#origin || record.hasBegun) return;
    const begun = { ...record, hasBegun: true };
    this.#table.set(begun, now);
    this.#archive.record(begun);
  }

  /** The versions that this host knows, for hosts that start later. */
  report(): VersionReport {
    return this.#history.report(this.#options.clock.now());
  }

  /** Adds what other hosts have reported before this host started. */
  learn(report: VersionReport): void {
    this.#history.learn(report, this.#options.clock.now());
  }

  /** Whether this host knows all versions of streams that can be resumed. */
  get isCovered(): boolean {
    return this.#history.isAllCovered(this.#options.clock.now());
  }

  /**
   * Finds the version that began a stream; never rejects. Hosts that are silent
   * are asked again for up to `patienceMs`.
   */
  async resolve(
    stream: StreamKey,
    patienceMs: Milliseconds = 0,
  ): Promise<VersionBinding> {
    const { clock } = this.#options;
    const resolution = await resolveInTime(
      { clock, patienceMs },
      (timeoutMs) => this.#resolveOnce(stream, timeoutMs),
    );
    const state = this.#history.stateOf(stream.service, clock.now());
    noteResolution(this.#options, { stream, state, resolution });
    return resolution.binding;
  }

  #resolveOnce(
    stream: StreamKey,
    timeoutMs: Milliseconds,
  ): Promise<Resolution> {
    const { clock, hosts, listingAgeMs } = this.#options;
    this.#observe(clock.now());
    const others = hosts();
    const { asked, commonKeepers } = this.#chooser.of(stream, others);
    const question = isRecordable(stream)
      ? stream
      : { ...stream, id: NO_STREAM };
    return resolveVersion({
      origin: this.#origin,
      record: this.#table.get(stream, clock.now()),
      stateOf: () => this.#history.stateOf(stream.service, clock.now()),
      asked,
      commonKeepers,
      isFleetAsked: asked.length === others.length,
      ask: (asked) => this.#client.ask(asked, question, timeoutMs),
      isListingRecent: () => listingAgeMs() <= RECENT_LISTING_MS,
      confirmListing: () => this.#confirmListing(),
      findArchived: () => this.#archive.find(stream),
    });
  }

  /** Reads the listing; to be called at least once a second. */
  maintain(): void {
    const { clock, hosts } = this.#options;
    this.#observe(clock.now());
    this.#archive.maintain();
    this.#client.retain(hosts());
  }

  /** Closes the connections to other hosts. */
  close(): void {
    this.#client.close();
  }

  async #confirmListing(): Promise<boolean> {
    const hasResponded = await this.#options.confirmListing();
    this.#observe(this.#options.clock.now());
    return hasResponded;
  }

  /** False: other hosts may list versions that this one doesn't. */
  get #isListingFresh(): boolean {
    return this.#options.listingAgeMs() <= MAX_LISTING_AGE_MS;
  }

  #observe(now: Milliseconds): void {
    this.#observedAt = now;
    this.#history.observe(this.#options.replicas.entries(), now);
    for (const service of this.#history.services) {
      this.#updateService(service, now);
    }
  }

  #updateService(service: string, now: Milliseconds): void {
    const state = this.#history.stateOf(service, now);
    this.#updateShared(service, state, now);
    this.#updateArchived(service, state, now);
  }

  /** Starts or stops recording the streams of a service in the store. */
  #updateArchived(
    service: string,
    { type }: VersionState,
    now: Milliseconds,
  ): void {
    const origin = this.#origin;
    this.#archive.setRecorded(
      service,
      type === "mixed",
      () =>
        this.#table.recordsOf({ service, origin }, now)
          .filter(({ hasBegun }) => hasBegun),
    );
  }

  /** Starts or stops sending the records of a service to keepers. */
  #updateShared(
    service: string,
    state: VersionState,
    now: Milliseconds,
  ): void {
    // A host that has not seen the window itself can't infer the version before
    // a transition, so others need the records of its streams by then.
    const isSingle = state.type === "single" && this.#isListingFresh &&
      this.#history.hasSeenWindow(service, now);
    if (isSingle || state.type === "none") {
      this.#sharedServices.delete(service);
      return;
    }
    if (this.#sharedServices.has(service)) return;
    this.#sharedServices.add(service);
    const origin = this.#origin;
    this.#sendBacklog(this.#table.recordsOf({ service, origin }, now));
  }

  /** Whether this host sent the stream to another version before. */
  #isContradicted(
    stream: StreamKey,
    softwareVersion: SoftwareVersion,
  ): boolean {
    const known = this.#table.get(stream, this.#options.clock.now());
    if (known?.origin !== this.#origin) return false;
    return known.softwareVersion !== softwareVersion ||
      known.isContradicted === true;
  }

  async #sendInTime(record: StreamRecord): Promise<boolean> {
    const { clock, metrics, hosts } = this.#options;
    const mayBegin = !record.isContradicted || hosts().length === 0;
    let cancel = () => {};
    const timeout = new Promise<"timeout">((resolve) => {
      const onTimeout = () => resolve("timeout");
      cancel = afterRunning(clock, KEPT_TIMEOUT_MS, onTimeout);
    });
    const result = await Promise.race([this.#sender.send(record), timeout]);
    cancel();
    if (result === true) return true;
    if (!mayBegin) metrics.count("streams_withheld");
    else if (result === "timeout") metrics.count("streams_begun_unkept");
    return mayBegin;
  }

  /** Sends records in chunks, so that many don't delay other work. */
  #sendBacklog(records: readonly StreamRecord[]): void {
    for (const record of records.slice(0, BACKLOG_CHUNK_RECORDS)) {
      void this.#sender.send(record);
    }
    const rest = records.slice(BACKLOG_CHUNK_RECORDS);
    if (rest.length === 0) return;
    this.#options.clock.after(
      BACKLOG_INTERVAL_MS,
      () => this.#sendBacklog(rest),
    );
  }
}
