/**
 * Writes which software versions began streams to the store, so that they can
 * be resumed after all hosts have ended. Streams of a service are written in
 * batches to a row that grows up to a limit; then a new one is begun. A row is
 * removed once none of its streams can be resumed.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { RowWriteResult, Store } from "../port.ts";
import { withTimeout } from "../state/with_timeout.ts";
import {
  ARCHIVE_TABLE,
  type ArchivedStreams,
  decodeArchiveRow,
  digestOf,
  encodeArchiveRow,
  MAX_ROW_STREAMS,
} from "./archive_rows.ts";
import type { SoftwareVersion, StreamRecord } from "./model.ts";

/** Delay of a write, in which further streams are added to it. */
const BATCH_DELAY_MS = 100;
/** Shortest time from one write of a service to the next. */
const WRITE_INTERVAL_MS = 500;
/** The same after a write that failed. */
const RETRY_INTERVAL_MS = 2000;
const CALL_TIMEOUT_MS = 1500;
/** Maximum number of streams of a service that wait for a write. */
const MAX_WAITING_STREAMS = 5000;

/** The calls to the store that an archive makes. */
export type ArchiveStore = Pick<Store, "readRows" | "writeRow" | "removeRow">;

/** Options of {@link ArchiveWriter}. */
export type ArchiveWriterOptions = {
  readonly store: ArchiveStore;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count">;
  /** Identifies this run of the host in the keys of its rows. */
  readonly origin: string;
};

/** A stream, with its expiry by this host's clock. */
type ExpiringStream = {
  readonly softwareVersion: SoftwareVersion;
  readonly expiresAt: Milliseconds;
};

/** Streams by digest. */
type StreamMap = Map<string, ExpiringStream>;

/** The row of a service that is being filled. */
type OpenRow = {
  readonly key: string;
  /** 0: it does not exist yet. */
  revision: number;
  readonly streams: StreamMap;
};

/** A row that is not written any more. */
type FullRow = {
  readonly key: string;
  /** Undefined: unknown, since the store did not respond. */
  readonly revision: number | undefined;
  readonly expiresAt: Milliseconds;
};

type ServiceArchive = {
  readonly service: string;
  waiting: StreamMap;
  row: OpenRow;
  isScheduled: boolean;
  /** Earliest time of the next write. */
  nextWriteAt: Milliseconds;
};

/** Writes the streams of services for all hosts that send them here. */
export class ArchiveWriter {
  readonly #options: ArchiveWriterOptions;
  readonly #services = new Map<string, ServiceArchive>();
  readonly #fullRows: FullRow[] = [];
  /** The store's clock less this host's; undefined: not known yet. */
  #clockOffsetMs: Milliseconds | undefined;
  #rowCount = 0;
  #isRemoving = false;

  constructor(options: ArchiveWriterOptions) {
    this.#options = options;
  }

  /** Adds streams, which are written shortly after. */
  add(records: readonly StreamRecord[]): void {
    for (const { stream, softwareVersion, expiresAt } of records) {
      const archive = this.#archiveOf(stream.service);
      if (archive.waiting.size >= MAX_WAITING_STREAMS) {
        this.#options.metrics.count("stream_records_unarchived");
        continue;
      }
      archive.waiting.set(digestOf(stream), { softwareVersion, expiresAt });
      this.#schedule(archive);
    }
  }

  /** Removes a row that has expired; to be called at least once a second. */
  maintain(): void {
    const { clock } = this.#options;
    const now = clock.now();
    for (const archive of this.#services.values()) {
      const { row, isScheduled } = archive;
      // A write may be in progress.
      if (isScheduled || row.streams.size === 0) continue;
      if (lastExpiryOf(row.streams) <= now) {
        this.#closeRow(archive, row.revision);
      }
    }
    const expired = this.#fullRows.findIndex((row) => row.expiresAt <= now);
    if (expired < 0 || this.#isRemoving) return;
    const [row] = this.#fullRows.splice(expired, 1);
    if (row) void this.#remove(row);
  }

  #archiveOf(service: string): ServiceArchive {
    const existing = this.#services.get(service);
    if (existing) return existing;
    const archive = {
      service,
      waiting: new Map(),
      row: this.#createRow(),
      isScheduled: false,
      nextWriteAt: 0,
    };
    this.#services.set(service, archive);
    return archive;
  }

  /** Keys have a limited length, and names of services may not. */
  #createRow(): OpenRow {
    this.#rowCount += 1;
    const key = `${this.#options.origin}/${this.#rowCount}`;
    return { key, revision: 0, streams: new Map() };
  }

  #schedule(archive: ServiceArchive): void {
    if (archive.isScheduled) return;
    archive.isScheduled = true;
    const { clock } = this.#options;
    const waitMs = archive.nextWriteAt - clock.now();
    clock.after(Math.max(BATCH_DELAY_MS, waitMs), () => {
      void this.#write(archive).then((isWritten) => {
        archive.isScheduled = false;
        const intervalMs = isWritten ? WRITE_INTERVAL_MS : RETRY_INTERVAL_MS;
        archive.nextWriteAt = clock.now() + intervalMs;
        if (archive.waiting.size > 0) this.#schedule(archive);
      });
    });
  }

  /** Writes the streams that wait; false: some have to be written again. */
  async #write(archive: ServiceArchive): Promise<boolean> {
    const { clock, metrics } = this.#options;
    if (!await this.#readClock()) return false;
    const { row } = archive;
    const batch = takeFirst(
      archive.waiting,
      MAX_ROW_STREAMS - row.streams.size,
    );
    for (const [digest, stream] of batch) row.streams.set(digest, stream);
    const nowMs = clock.now() + (this.#clockOffsetMs ?? 0);
    const value = encodeArchiveRow(
      archivedStreamsOf(archive, clock.now()),
      nowMs,
    );
    const ifRevision = row.revision;
    const result = await this.#call((signal) =>
      this.#options.store.writeRow(
        { table: ARCHIVE_TABLE, key: row.key, value, ifRevision },
        signal,
      )
    );
    if (result?.type !== "written") {
      // The row may have been written, so its streams go into another one.
      for (const [digest, stream] of row.streams) {
        archive.waiting.set(digest, stream);
      }
      this.#closeRow(archive, undefined);
      return false;
    }
    metrics.count("stream_records_archived", batch.length);
    row.revision = result.revision;
    this.#noteClock(result.nowMs);
    if (row.streams.size >= MAX_ROW_STREAMS) {
      this.#closeRow(archive, row.revision);
    }
    return true;
  }

  /** Begins a new row; the present one is removed once it has expired. */
  #closeRow(archive: ServiceArchive, revision: number | undefined): void {
    const { key, streams } = archive.row;
    const expiresAt = lastExpiryOf(streams);
    if (revision !== 0) this.#fullRows.push({ key, revision, expiresAt });
    archive.row = this.#createRow();
  }

  /**
   * Reads the store's clock before the first write. The rows of hosts that have
   * ended are adopted: nobody else removes them.
   */
  async #readClock(): Promise<boolean> {
    if (this.#clockOffsetMs !== undefined) return true;
    const { store, clock } = this.#options;
    const reading = await this.#call((signal) =>
      store.readRows(ARCHIVE_TABLE, signal)
    );
    if (!reading) return false;
    const { rows, nowMs } = reading;
    this.#noteClock(nowMs);
    for (const row of rows) {
      const { streams } = decodeArchiveRow(row, nowMs) ?? { streams: [] };
      const ttlMs = Math.max(0, ...streams.map((stream) => stream.ttlMs));
      const { key, revision } = row;
      this.#fullRows.push({ key, revision, expiresAt: clock.now() + ttlMs });
    }
    return true;
  }

  #noteClock(nowMs: Milliseconds): void {
    this.#clockOffsetMs = nowMs - this.#options.clock.now();
  }

  async #remove({ key, revision }: FullRow): Promise<void> {
    this.#isRemoving = true;
    const removal = {
      table: ARCHIVE_TABLE,
      key,
      ...(revision === undefined ? {} : { ifRevision: revision }),
    };
    await this.#call<RowWriteResult>((signal) =>
      this.#options.store.removeRow(removal, signal)
    );
    this.#isRemoving = false;
  }

  #call<Value>(
    work: (signal: AbortSignal) => Promise<Value>,
  ): Promise<Value | undefined> {
    const { clock, events } = this.#options;
    return withTimeout({
      clock,
      timeoutMs: CALL_TIMEOUT_MS,
      work,
      onFault: (reason) =>
        events.note("callFailed", { call: "archive", reason }),
    });
  }
}

/** Removes the first entries from a map and returns them. */
function takeFirst(
  streams: StreamMap,
  count: number,
): [string, ExpiringStream][] {
  const taken = [...streams].slice(0, count);
  for (const [digest] of taken) streams.delete(digest);
  return taken;
}

function archivedStreamsOf(
  { service, row }: ServiceArchive,
  now: Milliseconds,
): ArchivedStreams {
  const streams = [...row.streams]
    .map(([digest, { softwareVersion, expiresAt }]) => ({
      digest,
      softwareVersion,
      ttlMs: expiresAt - now,
    }))
    .filter(({ ttlMs }) => ttlMs > 0);
  return { service, streams };
}

function lastExpiryOf(streams: StreamMap): Milliseconds {
  return Math.max(...[...streams.values()].map(({ expiresAt }) => expiresAt));
}
