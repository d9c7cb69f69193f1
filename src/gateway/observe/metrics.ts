/** Counters and latency histograms in the Prometheus text format. */
import type { Histogram } from "hdr-histogram-js";
// Not the package's entry file, which takes longer to load.
import histograms from "hdr-histogram-js/dist/Int32Histogram.js";
import type { Milliseconds } from "../../util/units.ts";

/** Names of the measured durations. */
export const Timing = {
  firstByte: "first_byte",
  whole: "whole",
  memoryWait: "memory_wait",
  prefill: "prefill",
  storeCall: "store_call",
} as const;
/** One of the values of {@link Timing}. */
export type Timing = typeof Timing[keyof typeof Timing];

const PERCENTILES = [50, 95, 99];
/** Histograms record microseconds. */
const MICROS_PER_MS = 1000;
const MAX_MICROS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;

/** A gauge with one value for each set of labels. */
export type LabelledGauge = {
  readonly name: string;
  readonly values: readonly {
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
  }[];
};

/** Labels of one counter of a family. */
export type Labels = Readonly<Record<string, string>>;

/** Maximum number of counters of one family. */
const MAX_FAMILY_SIZE = 200;

/** Metrics of one process. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  /** Counters by formatted labels, by name of their family. */
  readonly #families = new Map<string, Map<string, number>>();
  readonly #timings = new Map<Timing, Histogram>();

  /** Adds to a counter. */
  count(name: string, by = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
  }

  /** Adds to the counter of a family that has these labels. */
  countLabelled(name: string, labels: Labels, by: number): void {
    const family = this.#families.get(name) ?? new Map<string, number>();
    this.#families.set(name, family);
    const key = formatLabels(labels);
    const value = family.get(key);
    if (value === undefined && family.size >= MAX_FAMILY_SIZE) return;
    family.set(key, (value ?? 0) + by);
  }

  /** The value of a counter. */
  counterValue(name: string): number {
    return this.#counters.get(name) ?? 0;
  }

  /** Records a duration. */
  time(timing: Timing, durationMs: Milliseconds): void {
    const existing = this.#timings.get(timing);
    const histogram = existing ??
      new histograms.default(1, MAX_MICROS, SIGNIFICANT_DIGITS);
    if (!existing) this.#timings.set(timing, histogram);
    const micros = Math.round(durationMs * MICROS_PER_MS);
    histogram.recordValue(Math.max(1, Math.min(MAX_MICROS, micros)));
  }

  /**
   * Renders all metrics; `info` maps names to versions. The gauges of a family
   * differ in their labels.
   */
  render(
    gauges: Readonly<Record<string, number>>,
    info: Readonly<Record<string, string>> = {},
    labelled: readonly LabelledGauge[] = [],
  ): string {
    const lines: string[] = [];
    for (const [name, version] of Object.entries(info)) {
      lines.push(`# TYPE otterhill_${name}_info gauge`);
      lines.push(`otterhill_${name}_info{version="${version}"} 1`);
    }
    for (const [name, value] of this.#counters) {
      lines.push(`# TYPE otterhill_${name}_total counter`);
      lines.push(`otterhill_${name}_total ${value}`);
    }
    for (const [name, family] of this.#families) {
      lines.push(`# TYPE otterhill_${name}_total counter`);
      for (const [labels, value] of family) {
        lines.push(`otterhill_${name}_total{${labels}} ${value}`);
      }
    }
    for (const [name, value] of Object.entries(gauges)) {
      lines.push(`# TYPE otterhill_${name} gauge`);
      lines.push(`otterhill_${name} ${value}`);
    }
    for (const { name, values } of labelled) {
      if (values.length === 0) continue;
      lines.push(`# TYPE otterhill_${name} gauge`);
      for (const { labels, value } of values) {
        lines.push(`otterhill_${name}{${formatLabels(labels)}} ${value}`);
      }
    }
    for (const [timing, histogram] of this.#timings) {
      lines.push(...summaryLines(`otterhill_${timing}_seconds`, histogram));
    }
    return `${lines.join("\n")}\n`;
  }
}

/** Labels with quotes, backslashes and newlines escaped. */
function formatLabels(labels: Labels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(",");
}

function summaryLines(name: string, histogram: Histogram): string[] {
  const seconds = (micros: number) => micros / MICROS_PER_MS / 1000;
  const total = histogram.mean * histogram.totalCount;
  return [
    `# TYPE ${name} summary`,
    ...PERCENTILES.map((percentile) => {
      const value = seconds(histogram.getValueAtPercentile(percentile));
      return `${name}{quantile="${percentile / 100}"} ${value}`;
    }),
    `${name}_sum ${seconds(total)}`,
    `${name}_count ${histogram.totalCount}`,
  ];
}
