/** The burn report as a plain-text table. */
import { formatTable } from "../ctl/table.ts";
import type { BurnRow, Percentiles } from "./merge.ts";

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

/** Formats a window's length in minutes or hours. */
export function formatWindow(windowMs: number): string {
  const minutes = windowMs / 60_000;
  return minutes < 60 ? `${minutes} min` : `${minutes / 60} h`;
}

/** Formats the share of good requests as a percentage. */
export function formatGoodShare(row: BurnRow): string {
  if (row.requests === 0) return "-";
  return `${(row.good / row.requests * 100).toFixed(1)}%`;
}

function formatPercentiles(percentiles: Percentiles): string {
  return percentiles.map((ms) => ms.toFixed(1)).join(" / ");
}
