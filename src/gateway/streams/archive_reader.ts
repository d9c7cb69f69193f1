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

  /** The version of a stream; undefined if none or several are stored. */
  async find(
    stream: StreamKey,
  ): Promise<{ readonly softwareVersion: SoftwareVersion } | undefined> {
    const index = await this.#index.get(this.#options.clock.now());
    const versions = index?.get(indexKeyOf(stream.service, digestOf(stream)));
    if (versions?.size !== 1) return undefined;
    const [softwareVersion] = versions;
    return { softwareVersion };
  }

  async #read(): Promise<VersionIndex | undefined> {
    const { store, clock, events } = this.#options;
    const reading = await withTimeout({
      clock,
      timeoutMs: READ_TIMEOUT_MS,
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
