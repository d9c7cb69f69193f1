/** Counts good requests per customer and service for the burn rate report. */
import hdr, { type Histogram } from "hdr-histogram-js";
import type { Observation } from "../../core/mod.ts";
import type { BurnWindow } from "../../messages/control.ts";

/** Duration of a bucket. */
const BUCKET_MS = 60_000;
/** Duration of the longest window. */
const MAX_WINDOW_MS = 6 * 3_600_000;
/** Durations of the windows in a report. */
export const WINDOWS_MS: readonly number[] = [
  300_000,
  3_600_000,
  MAX_WINDOW_MS,
];
/** Maximum number of rows; the least recently used row is evicted first. */
const ROW_LIMIT = 2000;
/** Histograms record microseconds. */
const MICROSECONDS_PER_MS = 1000;

type Bucket = { readonly start: number; requests: number; good: number };

type Row = {
  readonly customer: string;
  readonly service: string;
  buckets: Bucket[];
  readonly firstToken: Histogram;
  readonly betweenTokens: Histogram;
};

/** Counts observations and sums them over sliding windows. */
export class BurnTable {
  readonly #rows = new Map<string, Row>();

  /** Counts a finished request. */
  note(observation: Observation, now: number): void {
    const row = this.#rowOf(observation);
    const bucket = bucketAt(row, now);
    bucket.requests += 1;
    if (observation.good) bucket.good += 1;
    const { firstTokenMs, betweenTokensMs } = observation;
    if (firstTokenMs !== undefined) record(row.firstToken, firstTokenMs);
    if (betweenTokensMs !== undefined) {
      record(row.betweenTokens, betweenTokensMs);
    }
  }

  #rowOf({ customer, service }: Observation): Row {
    const name = `${customer} ${service}`;
    const known = this.#rows.get(name);
    this.#rows.delete(name);
    const row = known ?? {
      customer,
      service,
      buckets: [],
      firstToken: newHistogram(),
      betweenTokens: newHistogram(),
    };
    this.#rows.set(name, row);
    const oldest = this.#rows.keys().next().value;
    const full = this.#rows.size > ROW_LIMIT;
    if (full && oldest !== undefined) this.#rows.delete(oldest);
    return row;
  }

  /** Returns each row's counts in each window. */
  windows(now: number): BurnWindow[] {
    return [...this.#rows.values()].flatMap((row) =>
      WINDOWS_MS.map((windowMs) => windowOf(row, windowMs, now))
    );
  }
}

function bucketAt(row: Row, now: number): Bucket {
  const start = Math.floor(now / BUCKET_MS) * BUCKET_MS;
  const newest = row.buckets.at(-1);
  if (newest?.start === start) return newest;
  const added = { start, requests: 0, good: 0 };
  row.buckets = row.buckets.filter((bucket) =>
    start - bucket.start < MAX_WINDOW_MS
  );
  row.buckets.push(added);
  return added;
}

function windowOf(row: Row, windowMs: number, now: number): BurnWindow {
  let requests = 0;
  let good = 0;
  for (const bucket of row.buckets) {
    if (now - bucket.start >= windowMs) continue;
    requests += bucket.requests;
    good += bucket.good;
  }
  return {
    customer: row.customer,
    service: row.service,
    windowMs,
    requests,
    good,
    firstToken: hdr.encodeIntoCompressedBase64(row.firstToken),
    betweenTokens: hdr.encodeIntoCompressedBase64(row.betweenTokens),
  };
}

function newHistogram(): Histogram {
  return hdr.build({
    bitBucketSize: "packed",
    autoResize: true,
    numberOfSignificantValueDigits: 2,
  });
}

function record(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(0, Math.round(ms * MICROSECONDS_PER_MS)));
}
