/** Finds in the store which software version began a stream. */
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { RowReading, Store } from "../port.ts";
import { SharedRead } from "../state/shared_read.ts";
import { withTimeout } from "../state/with_timeout.ts";
import { ARCHIVE_TABLE, decodeArchiveRow, digestOf } from "./archive_rows.ts";
import type { SoftwareVersion, StreamKey } from "./model.ts";

/** Timeout of a read. A caller waits for it when its stream is taken up. */
const READ_TIMEOUT_MS = 500;

/** Options of {@link ArchiveReader}. */
export type ArchiveReaderOptions = {
  readonly store: Pick<Store, "readRows">;
  readonly clock: Clock;
  readonly events: EventLog;
};

/** What the store has of a stream. */
export type ArchiveFinding =
  | { readonly type: "found"; readonly softwareVersion: SoftwareVersion }
  | { readonly type: "absent" }
  /** It is stored with several versions. */
  | { readonly type: "contradictory" }
  /** The store hasn't responded. */
  | { readonly type: "unreadable" };

/** The versions of streams, by service and digest. */
type VersionIndex = ReadonlyMap<string, ReadonlySet<SoftwareVersion>>;

/** Reads the rows that hosts have written. */
export class ArchiveReader {
  readonly #options: ArchiveReaderOptions;
  readonly #index: SharedRead<VersionIndex | undefined>;

  constructor(options: ArchiveReaderOptions) {
    this.#options = options;
    this.#index = new SharedRead(() => this.#read());
  }

  /** Looks for a stream. */
  async find(stream: StreamKey): Promise<ArchiveFinding> {
    const index = await this.#index.get(this.#options.clock.now());
    if (!index) return { type: "unreadable" };
    const key = indexKeyOf(stream.service, digestOf(stream));
    const versions = index.get(key) ?? new Set();
    const [softwareVersion] = versions;
    if (versions.size === 1) return { type: "found", softwareVersion };
    return { type: versions.size === 0 ? "absent" : "contradictory" };
  }

  async #read(): Promise<VersionIndex | undefined> {
    const { store, clock, events } = this.#options;
    const reading = await withTimeout({
      clock,
      timeoutMs: READ_TIMEOUT_MS,
      countsRunningTime: true,
      work: (signal) => store.readRows(ARCHIVE_TABLE, signal),
      onFault: (reason) =>
        events.note("callFailed", { call: "archive", reason }),
    });
    return reading && indexOf(reading);
  }
}

function indexOf({ rows, nowMs }: RowReading): VersionIndex {
  const index = new Map<string, Set<SoftwareVersion>>();
  for (const row of rows) {
    const { service, streams } = decodeArchiveRow(row, nowMs) ??
      { service: "", streams: [] };
    for (const { digest, softwareVersion } of streams) {
      const key = indexKeyOf(service, digest);
      index.set(key, (index.get(key) ?? new Set()).add(softwareVersion));
    }
  }
  return index;
}

function indexKeyOf(service: string, digest: string): string {
  return `${digest} ${service}`;
}
