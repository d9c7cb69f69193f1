/** The burn report as text. */
import { textTable } from "../ctl/table.ts";
import type { BurnRow, Percentiles } from "./merge.ts";

/** The report as a table. */
export function burnText(rows: readonly BurnRow[]): string {
  if (rows.length === 0) return "no requests so far";
  return textTable(
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
      windowName(row.windowMs),
      String(row.requests),
      goodShare(row),
      row.burn.toFixed(2),
      triple(row.firstToken),
      triple(row.betweenTokens),
    ]),
  );
}

/** A window's length for people. */
export function windowName(span: number): string {
  const minutes = span / 60_000;
  return minutes < 60 ? `${minutes} min` : `${minutes / 60} h`;
}

/** The share of good requests for people. */
export function goodShare(row: BurnRow): string {
  if (row.requests === 0) return "-";
  return `${(row.good / row.requests * 100).toFixed(1)}%`;
}

function triple(its: Percentiles): string {
  return its.map((one) => one.toFixed(1)).join(" / ");
}
