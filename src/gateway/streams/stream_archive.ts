/**
 * The streams of services with several software versions, in the store: all
 * hosts may end at once, and their records with them.
 */
import { type ArchiveFinding, ArchiveReader } from "./archive_reader.ts";
import { ArchiveSender, type ArchiveSenderOptions } from "./archive_sender.ts";
import { ArchiveWriter, type ArchiveWriterOptions } from "./archive_writer.ts";
import type { StreamKey, StreamRecord } from "./model.ts";

/** Options of {@link StreamArchive}. */
export type StreamArchiveOptions =
  & ArchiveWriterOptions
  & Omit<ArchiveSenderOptions, "write">;

/** Writes streams to the store, and finds them there. */
export class StreamArchive {
  readonly #sender: ArchiveSender;
  readonly #writer: ArchiveWriter;
  readonly #reader: ArchiveReader;
  /** The services with several versions. */
  readonly #services = new Set<string>();

  constructor(options: StreamArchiveOptions) {
    this.#reader = new ArchiveReader(options);
    this.#writer = new ArchiveWriter(options);
    const write = (records: readonly StreamRecord[]) => this.write(records);
    this.#sender = new ArchiveSender({ ...options, write });
  }

  /**
   * Sets whether the streams of a service are recorded from now on. When it
   * begins, those that `begun` returns are recorded, too.
   */
  setRecorded(
    service: string,
    isRecorded: boolean,
    begun: () => readonly StreamRecord[],
  ): void {
    if (!isRecorded) {
      this.#services.delete(service);
      return;
    }
    if (this.#services.has(service)) return;
    this.#services.add(service);
    for (const record of begun()) this.#sender.send(record);
  }

  /** Records a stream that has begun at this host. */
  record(record: StreamRecord): void {
    const { service } = record.stream;
    if (this.#services.has(service)) this.#sender.send(record);
  }

  /** Writes the streams that a host has sent here. */
  write(records: readonly StreamRecord[]): void {
    this.#writer.add(records);
  }

  /** Looks for a stream in the store. */
  find(stream: StreamKey): Promise<ArchiveFinding> {
    return this.#reader.find(stream);
  }

  /** Removes expired rows; to be called at least once a second. */
  maintain(): void {
    this.#writer.maintain();
  }
}
