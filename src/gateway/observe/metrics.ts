/** Counters and latency histograms, as text for a metrics reader. */
import type { Histogram } from "hdr-histogram-js";
// The package's entry file takes 25 ms of a process's start.
import histograms from "hdr-histogram-js/dist/Int32Histogram.js";
import type { Milliseconds } from "../../util/units.ts";

/** What is timed. */
export const Timing = {
  firstByte: "first_byte",
  whole: "whole",
  memoryWait: "memory_wait",
  prefill: "prefill",
  storeCall: "store_call",
} as const;
/** One of the values of {@link Timing}. */
export type Timing = typeof Timing[keyof typeof Timing];

const QUANTILES = [50, 95, 99];
/** Histograms count microseconds. */
const MICROS = 1000;
const LONGEST_MICROS = 600_000_000;
/** A value is told to within one in a hundred. */
const SIGNIFICANT_DIGITS = 2;

/** Counts and times of one process. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #timings = new Map<Timing, Histogram>();

  /** Adds to a counter. */
  count(name: string, by = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
  }

  /** The value of a counter. */
  counted(name: string): number {
    return this.#counters.get(name) ?? 0;
  }

  /** Records a time. */
  time(timing: Timing, spentMs: Milliseconds): void {
    const known = this.#timings.get(timing);
    const histogram = known ??
      new histograms.default(1, LONGEST_MICROS, SIGNIFICANT_DIGITS);
    if (!known) this.#timings.set(timing, histogram);
    const micros = Math.round(spentMs * MICROS);
    histogram.recordValue(Math.max(1, Math.min(LONGEST_MICROS, micros)));
  }

  /** The page in the usual text exposition format; `info` are versions. */
  page(
    gauges: Readonly<Record<string, number>>,
    info: Readonly<Record<string, string>> = {},
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
    for (const [name, value] of Object.entries(gauges)) {
      lines.push(`# TYPE otterhill_${name} gauge`);
      lines.push(`otterhill_${name} ${value}`);
    }
    for (const [timing, histogram] of this.#timings) {
      lines.push(...summary(`otterhill_${timing}_seconds`, histogram));
    }
    return `${lines.join("\n")}\n`;
  }
}

function summary(name: string, histogram: Histogram): string[] {
  const seconds = (micros: number) => micros / MICROS / 1000;
  const total = histogram.mean * histogram.totalCount;
  return [
    `# TYPE ${name} summary`,
    ...QUANTILES.map((one) => {
      const value = seconds(histogram.getValueAtPercentile(one));
      return `${name}{quantile="${one / 100}"} ${value}`;
    }),
    `${name}_sum ${seconds(total)}`,
    `${name}_count ${histogram.totalCount}`,
  ];
}
