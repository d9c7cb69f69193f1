/** The burn report as text. */
import { formatTable } from "../ctl/table.ts";
import type { BurnRow, Percentiles } from "./merge.ts";

/** The report as a table. */
export function formatBurnTable(rows: readonly BurnRow[]): string {
  if (rows.length === 0) return "no requests so far";
  return formatTable(
    [
      "customer",
      "service",
      "window",
      "requests",
      "good",
      "burn",
      "first token p50/p95/p99 ms",
      "between tokens p50/p95/p99 ms",
    ],
    rows.map((row) => [
      row.customer,
      row.service,
      formatWindow(row.windowMs),
      String(row.requests),
      formatGoodShare(row),
      row.burn.toFixed(2),
      formatPercentiles(row.firstToken),
      formatPercentiles(row.betweenTokens),
    ]),
  );
}

/** A window's length for people. */
export function formatWindow(span: number): string {
  const minutes = span / 60_000;
  return minutes < 60 ? `${minutes} min` : `${minutes / 60} h`;
}

/** The share of good requests for people. */
export function formatGoodShare(row: BurnRow): string {
  if (row.requests === 0) return "-";
  return `${(row.good / row.requests * 100).toFixed(1)}%`;
}

function formatPercentiles(its: Percentiles): string {
  return its.map((one) => one.toFixed(1)).join(" / ");
}
