/** Records of streams, each until its stream can no longer be resumed. */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { StreamKey, StreamRecord } from "./model.ts";

/** Maximum number of records; the oldest are evicted. */
const MAX_RECORDS = 50_000;

/** Records by stream. */
export class VersionTable {
  /** In the order in which they were stored. */
  readonly #records = new Map<string, StreamRecord>();
  readonly #maxRecords: number;

  constructor(maxRecords = MAX_RECORDS) {
    this.#maxRecords = maxRecords;
  }

  /** Number of records, expired ones included. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Stores a record in place of an earlier one of its stream. One that the same
   * origin has replaced already is dropped: calls may overtake each other.
   */
  set(record: StreamRecord, now: Milliseconds): void {
    this.#evictExpired(now);
    if (this.isReplaced(record) || record.expiresAt <= now) return;
    const key = tableKeyOf(record.stream);
    this.#records.delete(key);
    this.#records.set(key, record);
    evictOldest(this.#records, this.#maxRecords);
  }

  /** Whether the same origin has replaced a record. */
  isReplaced({ stream, origin, order }: StreamRecord): boolean {
    const known = this.#records.get(tableKeyOf(stream));
    return known?.origin === origin && known.order > order;
  }

  /** The record of a stream, unless it has expired. */
  get(stream: StreamKey, now: Milliseconds): StreamRecord | undefined {
    const record = this.#records.get(tableKeyOf(stream));
    return record && record.expiresAt > now ? record : undefined;
  }

  /** The records of a service that `origin` made and that haven't expired. */
  recordsOf(
    { service, origin }: { readonly service: string; readonly origin: string },
    now: Milliseconds,
  ): StreamRecord[] {
    return [...this.#records.values()].filter((record) =>
      record.stream.service === service && record.origin === origin &&
      record.expiresAt > now
    );
  }

  /** Evicts the oldest records up to the first that hasn't expired. */
  #evictExpired(now: Milliseconds): void {
    for (const [key, { expiresAt }] of this.#records) {
      if (expiresAt > now) return;
      this.#records.delete(key);
    }
  }
}

function tableKeyOf({ service, id }: StreamKey): string {
  return `${service}\n${id}`;
}
