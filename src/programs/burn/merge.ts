/** Merges hosts' windows and works out how fast the budget burns. */
import hdr, { type Histogram } from "hdr-histogram-js";
import type { BurnWindow } from "../../messages/control.ts";

/** Percentiles in milliseconds. */
export type Percentiles = readonly [p50: number, p95: number, p99: number];

/** One customer and service over one window, all hosts together. */
export type BurnRow = {
  readonly customer: string;
  readonly service: string;
  readonly windowMs: number;
  readonly requests: number;
  readonly good: number;
  /** 1: the budget is used up exactly at the end of its period. */
  readonly burn: number;
  /** Since the hosts have started. */
  readonly firstToken: Percentiles;
  readonly betweenTokens: Percentiles;
};

/** Histograms count microseconds. */
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

/** Merges the windows of all hosts, for an objective such as 0.95. */
export function mergeBurn(
  windows: readonly BurnWindow[],
  objective: number,
): BurnRow[] {
  const merged = new Map<string, MergedWindow>();
  for (const window of windows) addWindow(merged, window);
  return [...merged.values()].map((one) => ({
    customer: one.customer,
    service: one.service,
    windowMs: one.windowMs,
    requests: one.requests,
    good: one.good,
    burn: burnRate(one, objective),
    firstToken: percentiles(one.firstToken),
    betweenTokens: percentiles(one.betweenTokens),
  }));
}

function addWindow(
  merged: Map<string, MergedWindow>,
  window: BurnWindow,
): void {
  const { customer, service, windowMs } = window;
  const name = `${customer} ${service} ${windowMs}`;
  const row = merged.get(name) ?? {
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
  merged.set(name, row);
}

function newHistogram(): Histogram {
  return hdr.build({ autoResize: true, numberOfSignificantValueDigits: 2 });
}

function addEncoded(histogram: Histogram, encoded: string): void {
  if (encoded === "") return;
  histogram.add(hdr.decodeFromCompressedBase64(encoded));
}

function percentiles(histogram: Histogram): Percentiles {
  const at = (share: number): number =>
    histogram.getValueAtPercentile(share) / MICROSECONDS_PER_MS;
  return [at(50), at(95), at(99)];
}

function burnRate(one: MergedWindow, objective: number): number {
  if (one.requests === 0) return 0;
  return (1 - one.good / one.requests) / (1 - objective);
}
