/** Sums up the outcomes of a load. */
import hdr, { type Histogram } from "hdr-histogram-js";
import type { Outcome } from "./send.ts";

/** Histograms count microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** What a load came to. */
export type Summary = {
  readonly requests: number;
  readonly good: number;
  readonly answered: number;
  readonly tokens: number;
  /** Ends without a whole answer, by kind. */
  readonly errors: Readonly<Record<string, number>>;
  readonly firstToken: Percentiles;
  readonly betweenTokens: Percentiles;
};

/** Percentiles in milliseconds. */
export type Percentiles = {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
};

/** Sums up. */
export function summarise(outcomes: readonly Outcome[]): Summary {
  const first = newHistogram();
  const between = newHistogram();
  const errors: Record<string, number> = {};
  let good = 0;
  let answered = 0;
  let tokens = 0;
  for (const one of outcomes) {
    tokens += one.tokens;
    if (one.good) good += 1;
    if (one.error === undefined) answered += 1;
    else errors[one.error] = (errors[one.error] ?? 0) + 1;
    record(first, one.firstTokenMs);
    record(between, one.betweenTokensMs);
  }
  return {
    requests: outcomes.length,
    good,
    answered,
    tokens,
    errors,
    firstToken: percentiles(first),
    betweenTokens: percentiles(between),
  };
}

function newHistogram(): Histogram {
  return hdr.build({ autoResize: true, numberOfSignificantValueDigits: 3 });
}

function record(histogram: Histogram, ms: number | undefined): void {
  if (ms === undefined) return;
  histogram.recordValue(Math.max(0, Math.round(ms * MICROSECONDS_PER_MS)));
}

function percentiles(histogram: Histogram): Percentiles {
  const at = (share: number): number =>
    histogram.getValueAtPercentile(share) / MICROSECONDS_PER_MS;
  return { p50: at(50), p95: at(95), p99: at(99) };
}

/** A summary as lines of text. */
export function formatSummary(summary: Summary): string {
  const share = summary.requests === 0
    ? 0
    : summary.good / summary.requests * 100;
  const row = (name: string, its: Percentiles): string =>
    `${name.padEnd(15)}p50 ${its.p50.toFixed(1)} ms  ` +
    `p95 ${its.p95.toFixed(1)} ms  p99 ${its.p99.toFixed(1)} ms`;
  const errors = Object.entries(summary.errors)
    .map(([kind, count]) => `${kind} ${count}`)
    .join(", ");
  return [
    `requests       ${summary.requests}, answered ${summary.answered}, ` +
    `tokens ${summary.tokens}`,
    `goodput        ${share.toFixed(1)}% met both targets`,
    row("first token", summary.firstToken),
    row("between tokens", summary.betweenTokens),
    `not answered   ${errors || "none"}`,
  ].join("\n");
}
