/**
 * Sends the records of streams that have begun to the host that writes those of
 * their service to the store. One host writes for all, so that the number of
 * calls to the store does not grow with the number of hosts.
 */
import type { Clock } from "../clock.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { HostEntry } from "../port.ts";
import type { KeeperClient } from "./keeper_client.ts";
import { MAX_BATCH_RECORDS } from "./keeper_messages.ts";
import type { StreamRecord } from "./model.ts";

/** Delay of a batch, in which further records are added to it. */
const BATCH_DELAY_MS = 100;
/** Maximum number of records that wait for one batch. */
const MAX_WAITING_RECORDS = 10_000;

/** Options of {@link ArchiveSender}. */
export type ArchiveSenderOptions = {
  readonly self: HostEntry;
  /** The run of this host. */
  readonly origin: string;
  readonly clock: Clock;
  readonly metrics: Pick<Metrics, "count">;
  readonly client: Pick<KeeperClient, "send">;
  /** The hosts that may write the streams of a service, best first. */
  readonly chooseWriters: (service: string) => readonly HostEntry[];
  /** Writes records at this host. */
  readonly write: (records: readonly StreamRecord[]) => void;
};

/** Sends records in batches. */
export class ArchiveSender {
  readonly #options: ArchiveSenderOptions;
  readonly #waiting = new Map<string, StreamRecord[]>();

  constructor(options: ArchiveSenderOptions) {
    this.#options = options;
  }

  /** Sends a record with the next batch of its service. */
  send(record: StreamRecord): void {
    const { service } = record.stream;
    const waiting = this.#waiting.get(service);
    if (!waiting) {
      this.#waiting.set(service, [record]);
      this.#options.clock.after(BATCH_DELAY_MS, () => this.#flush(service));
      return;
    }
    if (waiting.length < MAX_WAITING_RECORDS) waiting.push(record);
    else this.#options.metrics.count("stream_records_unarchived");
  }

  #flush(service: string): void {
    const records = this.#waiting.get(service) ?? [];
    this.#waiting.delete(service);
    while (records.length > 0) {
      void this.#sendBatch(service, records.splice(0, MAX_BATCH_RECORDS));
    }
  }

  /**
   * Sends a batch to the first host that accepts it. A host that reaches none of
   * them writes its streams itself: nobody else knows of them.
   */
  async #sendBatch(
    service: string,
    records: readonly StreamRecord[],
  ): Promise<void> {
    const { self, origin, client, chooseWriters, write } = this.#options;
    for (const host of chooseWriters(service)) {
      if (host.id === self.id) return write(records);
      const batch = { origin, records, isArchived: true };
      if (await client.send(host, batch)) return;
    }
    write(records);
  }
}
