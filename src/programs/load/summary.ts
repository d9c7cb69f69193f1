/** Summarises the outcomes of a load run. */
import hdr, { type Histogram } from "hdr-histogram-js";
import type { Outcome } from "./send.ts";

/** Histograms record microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Totals and latency percentiles of a load run. */
export type Summary = {
  readonly requests: number;
  readonly good: number;
  readonly answered: number;
  readonly tokens: number;
  /** Number of requests without a complete response, by error code. */
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

export function summarise(outcomes: readonly Outcome[]): Summary {
  const firstToken = newHistogram();
  const betweenTokens = newHistogram();
  const errors: Record<string, number> = {};
  let good = 0;
  let answered = 0;
  let tokens = 0;
  for (const outcome of outcomes) {
    tokens += outcome.tokens;
    if (outcome.good) good += 1;
    if (outcome.error === undefined) answered += 1;
    else errors[outcome.error] = (errors[outcome.error] ?? 0) + 1;
    record(firstToken, outcome.firstTokenMs);
    record(betweenTokens, outcome.betweenTokensMs);
  }
  return {
    requests: outcomes.length,
    good,
    answered,
    tokens,
    errors,
    firstToken: percentiles(firstToken),
    betweenTokens: percentiles(betweenTokens),
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
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { p50: at(50), p95: at(95), p99: at(99) };
}

/** Formats a summary as text. */
export function formatSummary(summary: Summary): string {
  const goodPercent = summary.requests === 0
    ? 0
    : summary.good / summary.requests * 100;
  const row = (label: string, latency: Percentiles): string =>
    `${label.padEnd(15)}p50 ${latency.p50.toFixed(1)} ms  ` +
    `p95 ${latency.p95.toFixed(1)} ms  p99 ${latency.p99.toFixed(1)} ms`;
  const errors = Object.entries(summary.errors)
    .map(([code, count]) => `${code} ${count}`)
    .join(", ");
  return [
    `requests       ${summary.requests}, answered ${summary.answered}, ` +
    `tokens ${summary.tokens}`,
    `goodput        ${goodPercent.toFixed(1)}% met both targets`,
    row("first token", summary.firstToken),
    row("between tokens", summary.betweenTokens),
    `not answered   ${errors || "none"}`,
  ].join("\n");
}
