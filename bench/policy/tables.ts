/** The tables of the policy bench as Markdown. */
import type { TrialResult } from "./trial.ts";

/** Results of the same trial with other seeds, taken together. */
export function meanOf(
  results: readonly TrialResult[],
  value: (one: TrialResult) => number,
): number {
  return results.reduce((sum, one) => sum + value(one), 0) / results.length;
}

/** Share of requests that met both targets. */
export function goodput(one: TrialResult): number {
  return one.good / one.requests;
}

/** Prefill tokens thrown away or done again, as a share. */
export function wasted(one: TrialResult): number {
  return (one.thrown + one.redone) / Math.max(1, one.prefilled);
}

/** A Markdown table. */
export function table(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;
  const rule = line(head.map(() => "---"));
  return [line(head), rule, ...rows.map(line)].join("\n");
}

/** A share as a percentage. */
export function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

/** Groups results by a name, in order of first appearance. */
export function groupBy(
  results: readonly TrialResult[],
  name: (one: TrialResult) => string,
): Map<string, TrialResult[]> {
  const groups = new Map<string, TrialResult[]>();
  for (const one of results) {
    const key = name(one);
    groups.set(key, [...(groups.get(key) ?? []), one]);
  }
  return groups;
}

/** The row of figures that most tables share. */
export const FIGURES = [
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

/** Those figures for a group of results. */
export function figures(results: readonly TrialResult[]): string[] {
  const mean = (value: (one: TrialResult) => number): number =>
    meanOf(results, value);
  const miss = (name: string) =>
    mean((one) => (one.misses[name] ?? 0) / one.requests);
  const misses = (one: TrialResult): number =>
    Object.values(one.misses).reduce((sum, count) => sum + count, 0) /
    one.requests;
  const first = [0, 1, 2].map((place) =>
    mean((one) => one.firstToken[place] ?? 0).toFixed(0)
  );
  const late = miss("first token late");
  const slow = miss("between tokens slow");
  const refused = miss("overloaded");
  return [
    percent(mean(goodput)),
    mean((one) => goodput(one) / one.bound).toFixed(3),
    mean((one) => one.onTimePerSecond).toFixed(1),
    percent(mean(wasted)),
    percent(mean((one) => one.hitShare)),
    percent(refused),
    percent(mean((one) => one.refusedWrongly / Math.max(1, one.refused))),
    percent(late),
    percent(slow),
    percent(Math.max(0, mean(misses) - late - slow - refused)),
    first.join(" / "),
    mean((one) => one.betweenTokens[1]).toFixed(1),
  ];
}
