/**
 * The limits that replicas have named. Responses and messages of other hosts
 * may arrive out of order, so a limit starts or falls at once, and rises or
 * ends only by a response that was certainly made after the limit was named.
 */
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import type { LimitHeader, LimitRecord } from "./model.ts";

/**
 * Bounds by how much a record received over a link may be older than its age
 * says: its time in transit. A link is closed after 900 ms without a line.
 */
const MAX_RELAY_DELAY_MS = 1000;
/** Maximum number of replicas whose limit, or its end, is stored. */
const MAX_REPLICAS = 3000;

/** What one response reports about its replica's limit. */
export type LimitAnswer = {
  readonly incarnation: string;
  readonly header: LimitHeader;
  /** When the request of the response was sent. */
  readonly sentAt: Milliseconds;
};

/** Limit records by incarnation of the replica. */
export class LimitTable {
  readonly #records = new Map<string, LimitRecord>();

  /** Number of replicas that have a limit. */
  get limited(): number {
    return this.all().filter((record) => record.perSecond !== undefined).length;
  }

  /** Number of replicas with a record. */
  get size(): number {
    return this.#records.size;
  }

  /** The replica's limit in requests per second, if it has one. */
  limitOf(incarnation: string): number | undefined {
    return this.#records.get(incarnation)?.perSecond;
  }

  /** Handles a response; returns the record if the limit has changed. */
  observe(answer: LimitAnswer, now: Milliseconds): LimitRecord | undefined {
    const { incarnation, header, sentAt } = answer;
    if (header.type === "unreadable") return undefined;
    const known = this.#records.get(incarnation);
    const perSecond = header.type === "limit" ? header.perSecond : undefined;
    if (perSecond === known?.perSecond) return undefined;
    const isSurelyLater = !known || sentAt > known.at;
    if (!isSurelyLater && !isStricter(perSecond, known.perSecond)) {
      return undefined;
    }
    return this.#store(recordOf(incarnation, perSecond, now));
  }

  /** Merges records of another host; returns those that changed this table. */
  merge(records: readonly LimitRecord[]): LimitRecord[] {
    const updates: LimitRecord[] = [];
    for (const record of records) {
      if (this.#isUpdate(record)) updates.push(this.#store(record));
    }
    return updates;
  }

  /** All records, for a host that has just connected. */
  all(): LimitRecord[] {
    return [...this.#records.values()];
  }

  #isUpdate({ incarnation, perSecond, at }: LimitRecord): boolean {
    const known = this.#records.get(incarnation);
    if (perSecond === known?.perSecond) return false;
    if (!known) return true;
    const slackMs = isStricter(perSecond, known.perSecond)
      ? 0
      : MAX_RELAY_DELAY_MS;
    return at > known.at + slackMs;
  }

  #store(record: LimitRecord): LimitRecord {
    const { incarnation } = record;
    // Reinserted at the end: the oldest records are evicted first.
    this.#records.delete(incarnation);
    this.#records.set(incarnation, record);
    evictOldest(this.#records, MAX_REPLICAS);
    return record;
  }
}

/** Whether the limit is lower than before; undefined means unlimited. */
function isStricter(
  perSecond: number | undefined,
  before: number | undefined,
): boolean {
  return (perSecond ?? Infinity) < (before ?? Infinity);
}

function recordOf(
  incarnation: string,
  perSecond: number | undefined,
  at: Milliseconds,
): LimitRecord {
  return {
    incarnation,
    at,
    ...(perSecond === undefined ? {} : { perSecond }),
  };
}
