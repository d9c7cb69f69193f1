/** Merges the windows of several hosts and computes error budget burn rates. */
import hdr, { type Histogram } from "hdr-histogram-js";
import type { BurnWindow } from "../../messages/control.ts";

/** Percentiles in milliseconds. */
export type Percentiles = readonly [p50: number, p95: number, p99: number];

/** One customer, service and window, merged over all hosts. */
export type BurnRow = {
  readonly customer: string;
  readonly service: string;
  readonly windowMs: number;
  readonly requests: number;
  readonly good: number;
  /**
   * Burn rate; at 1, the budget is used up exactly at the end of its period.
   */
  readonly burn: number;
  /** Since the hosts started, not only over the window. */
  readonly firstToken: Percentiles;
  readonly betweenTokens: Percentiles;
};

/** Histograms record microseconds. */
const MICROSECONDS_PER_MS = 1000;

type MergedWindow = {
  readonly customer: string;
  readonly service: string;
  readonly windowMs: number;
  requests: number;
  good: number;
  readonly firstToken: Histogram;
  readonly betweenTokens: Histogram;
};

/** Merges windows by customer, service and length; objective is e.g. 0.95. */
export function mergeBurn(
  windows: readonly BurnWindow[],
  objective: number,
): BurnRow[] {
  const merged = new Map<string, MergedWindow>();
  for (const window of windows) addWindow(merged, window);
  return [...merged.values()].map((row) => ({
    customer: row.customer,
    service: row.service,
    windowMs: row.windowMs,
    requests: row.requests,
    good: row.good,
    burn: burnRate(row, objective),
    firstToken: percentiles(row.firstToken),
    betweenTokens: percentiles(row.betweenTokens),
  }));
}

function addWindow(
  merged: Map<string, MergedWindow>,
  window: BurnWindow,
): void {
  const { customer, service, windowMs } = window;
  const key = `${customer} ${service} ${windowMs}`;
  const row = merged.get(key) ?? {
    customer,
    service,
    windowMs,
    requests: 0,
    good: 0,
    firstToken: newHistogram(),
    betweenTokens: newHistogram(),
  };
  row.requests += window.requests;
  row.good += window.good;
  addEncoded(row.firstToken, window.firstToken);
  addEncoded(row.betweenTokens, window.betweenTokens);
  merged.set(key, row);
}

function newHistogram(): Histogram {
  return hdr.build({ autoResize: true, numberOfSignificantValueDigits: 2 });
}

function addEncoded(histogram: Histogram, encoded: string): void {
  if (encoded === "") return;
  histogram.add(hdr.decodeFromCompressedBase64(encoded));
}

function percentiles(histogram: Histogram): Percentiles {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return [at(50), at(95), at(99)];
}

function burnRate(row: MergedWindow, objective: number): number {
  if (row.requests === 0) return 0;
  return (1 - row.good / row.requests) / (1 - objective);
}
