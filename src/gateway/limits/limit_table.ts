/**
 * The limits that replicas have named, as far as this host knows; needs no
 * clock. Answers overtake each other, and so does what hosts tell of them, so
 * a limit begins or falls at once, and rises or ends only by an answer that
 * was surely made after it was named.
 */
import type { Milliseconds } from "../../util/units.ts";
import { forgetOldest } from "../../util/forget_oldest.ts";
import type { LimitHeader, LimitRecord } from "./model.ts";

/**
 * Hosts share no clock: a record's age is right but for the time that it was
 * under way. A link is given up after 900 ms without a line, so what came over
 * one is not older than it says by more than this.
 */
const RELAY_MS = 1000;
/** Replicas of which a limit, or its end, is remembered: five times 600. */
const MOST_REPLICAS = 3000;

/** What one answer says of its replica's limit. */
export type LimitAnswer = {
  readonly incarnation: string;
  readonly header: LimitHeader;
  /** When the request was sent that it answers. */
  readonly sentAt: Milliseconds;
};

/** Limits by the replicas' incarnations. */
export class LimitTable {
  readonly #records = new Map<string, LimitRecord>();

  /** Replicas that have a limit now. */
  get limited(): number {
    return this.all().filter((one) => one.perSecond !== undefined).length;
  }

  /** Replicas of which something is known. */
  get size(): number {
    return this.#records.size;
  }

  /** Requests a second that the replica takes; undefined: no limit is known. */
  limitOf(incarnation: string): number | undefined {
    return this.#records.get(incarnation)?.perSecond;
  }

  /** Takes what an answer says; gives what it changed. */
  hear(answer: LimitAnswer, now: Milliseconds): LimitRecord | undefined {
    const { incarnation, header, sentAt } = answer;
    if (header.type === "unreadable") return undefined;
    const known = this.#records.get(incarnation);
    const perSecond = header.type === "limit" ? header.perSecond : undefined;
    if (perSecond === known?.perSecond) return undefined;
    const isSurelyLater = !known || sentAt > known.at;
    if (!isSurelyLater && !isStricter(perSecond, known.perSecond)) {
      return undefined;
    }
    return this.#put(recordOf(incarnation, perSecond, now));
  }

  /** Takes what another host knows; gives what was news here. */
  take(records: readonly LimitRecord[]): LimitRecord[] {
    const news: LimitRecord[] = [];
    for (const record of records) {
      if (this.#isNews(record)) news.push(this.#put(record));
    }
    return news;
  }

  /** All that is known, for a host that may know nothing. */
  all(): LimitRecord[] {
    return [...this.#records.values()];
  }

  #isNews({ incarnation, perSecond, at }: LimitRecord): boolean {
    const known = this.#records.get(incarnation);
    if (perSecond === known?.perSecond) return false;
    if (!known) return true;
    const slackMs = isStricter(perSecond, known.perSecond) ? 0 : RELAY_MS;
    return at > known.at + slackMs;
  }

  #put(record: LimitRecord): LimitRecord {
    const { incarnation } = record;
    // The newest are last.
    this.#records.delete(incarnation);
    this.#records.set(incarnation, record);
    forgetOldest(this.#records, MOST_REPLICAS);
    return record;
  }
}

/** Whether fewer requests may be sent; undefined: as many as one likes. */
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
