/** Formats the results of the policy benchmark as Markdown tables. */
import type { TrialResult } from "./trial.ts";

/** Returns the mean of a value over results. */
export function meanOf(
  results: readonly TrialResult[],
  value: (result: TrialResult) => number,
): number {
  return results.reduce((sum, result) => sum + value(result), 0) /
    results.length;
}

/** Returns the share of requests that met both latency targets. */
export function goodput(result: TrialResult): number {
  return result.good / result.requests;
}

/** Returns the share of prefill tokens that were discarded or repeated. */
export function wasted(result: TrialResult): number {
  return (result.thrown + result.redone) / Math.max(1, result.prefilled);
}

/** Formats a Markdown table. */
export function table(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;
  const rule = line(head.map(() => "---"));
  return [line(head), rule, ...rows.map(line)].join("\n");
}

/** Formats a share as a percentage. */
export function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

/** Groups results by name, in order of first appearance. */
export function groupBy(
  results: readonly TrialResult[],
  name: (result: TrialResult) => string,
): Map<string, TrialResult[]> {
  const groups = new Map<string, TrialResult[]>();
  for (const result of results) {
    const key = name(result);
    groups.set(key, [...(groups.get(key) ?? []), result]);
  }
  return groups;
}

/** The columns that all tables share. */
export const COLUMNS = [
  "goodput",
  "of bound",
  "on time /s",
  "wasted prefill",
  "prefix hits",
  "refused",
  "of them could be served",
  "late first token",
  "slow tokens",
  "other misses",
  "first token p50/p95/p99 ms",
  "between tokens p95 ms",
] as const;

/** Formats the cells of {@link COLUMNS} for a group of results. */
export function formatCells(results: readonly TrialResult[]): string[] {
  const mean = (value: (result: TrialResult) => number): number =>
    meanOf(results, value);
  const miss = (name: string) =>
    mean((result) => (result.misses[name] ?? 0) / result.requests);
  const misses = (result: TrialResult): number =>
    Object.values(result.misses).reduce((sum, count) => sum + count, 0) /
    result.requests;
  const first = [0, 1, 2].map((index) =>
    mean((result) => result.firstToken[index] ?? 0).toFixed(0)
  );
  const late = miss("first token late");
  const slow = miss("between tokens slow");
  const refused = miss("overloaded");
  return [
    percent(mean(goodput)),
    mean((result) => goodput(result) / result.bound).toFixed(3),
    mean((result) => result.onTimePerSecond).toFixed(1),
    percent(mean(wasted)),
    percent(mean((result) => result.hitShare)),
    percent(refused),
    percent(
      mean((result) => result.refusedWrongly / Math.max(1, result.refused)),
    ),
    percent(late),
    percent(slow),
    percent(Math.max(0, mean(misses) - late - slow - refused)),
    first.join(" / "),
    mean((result) => result.betweenTokens[1]).toFixed(1),
  ];
}
