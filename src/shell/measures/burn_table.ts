/** Counts of good requests per customer and service, for the burn report. */
import hdr, { type Histogram } from "hdr-histogram-js";
import type { Observation } from "../../core/mod.ts";
import type { BurnWindow } from "../../messages/control.ts";

/** Length of one bucket, and of the longest window, in milliseconds. */
const BUCKET_MS = 60_000;
const LONGEST_MS = 6 * 3_600_000;
/** The windows that a report shows. */
export const WINDOWS_MS: readonly number[] = [300_000, 3_600_000, LONGEST_MS];
/** Rows kept; the one unused for longest goes first. */
const ROW_LIMIT = 2000;
/** Histograms count microseconds. */
const MICROS = 1000;

type Bucket = { readonly start: number; requests: number; good: number };

type Row = {
  readonly customer: string;
  readonly service: string;
  buckets: Bucket[];
  readonly firstToken: Histogram;
  readonly betweenTokens: Histogram;
};

/** Counts observations and gives windows over them. */
export class BurnTable {
  readonly #rows = new Map<string, Row>();

  /** Counts one finished request. */
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

  /** All rows in all windows. */
  windows(now: number): BurnWindow[] {
    return [...this.#rows.values()].flatMap((row) =>
      WINDOWS_MS.map((span) => windowOf(row, span, now))
    );
  }
}

function bucketAt(row: Row, now: number): Bucket {
  const start = Math.floor(now / BUCKET_MS) * BUCKET_MS;
  const newest = row.buckets.at(-1);
  if (newest?.start === start) return newest;
  const bucket = { start, requests: 0, good: 0 };
  row.buckets = row.buckets.filter((one) => start - one.start < LONGEST_MS);
  row.buckets.push(bucket);
  return bucket;
}

function windowOf(row: Row, span: number, now: number): BurnWindow {
  let requests = 0;
  let good = 0;
  for (const bucket of row.buckets) {
    if (now - bucket.start >= span) continue;
    requests += bucket.requests;
    good += bucket.good;
  }
  return {
    customer: row.customer,
    service: row.service,
    windowMs: span,
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
  histogram.recordValue(Math.max(0, Math.round(ms * MICROS)));
}
