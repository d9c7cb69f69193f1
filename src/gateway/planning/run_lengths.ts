/**
 * How long runs take compared with their nominal time, which follows from the
 * caller's estimate of the output. Estimates are right at the median and often
 * far off, so each kind of run has a distribution of its own, and a run that has
 * outlived its expectation is compared only with the runs that did so too.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Ratios of actual to typical time are counted by powers of two. */
const SMALLEST_LOG2 = -4;
const LARGEST_LOG2 = 4;
const BINS_PER_DOUBLING = 8;
const BIN_COUNT = (LARGEST_LOG2 - SMALLEST_LOG2) * BINS_PER_DOUBLING;
/** Weight of the previous runs when a run is added: about the last 200. */
const DECAY = 0.995;
/** Ratios assumed at first, and their weights. */
const PRIOR_RATIOS = [0.4, 0.7, 1, 1.4, 2.5];
const PRIOR_WEIGHT = 0.4;
/** With less weight than this, no run of the kind took as long. */
const SMALLEST_WEIGHT = 0.05;
/**
 * Remaining share of the expected time of a run that takes longer than all runs
 * before; it shrinks as the run takes longer still.
 */
const OVERDUE_SHARE = 0.5;
/** Time of a run until one has ended. */
const INITIAL_RUN_MS = 3000;
/** Runs after which a kind is no longer compared with the whole service. */
const MIN_RUNS = 10;
/** Quantiles in a summary. */
const SUMMARY_QUANTILES = 10;
/** The typical ratio follows about as many runs. */
const SCALE_RUNS = 50;

/** The kind of a run: its service and the rank of its route. */
export type RunKind = { readonly service: string; readonly priority: number };

/** A run in progress, compared with its expectation. */
export type RunInProgress = {
  /** Time that the run would take if the caller's estimate were right. */
  readonly nominalMs: Milliseconds;
  readonly elapsedMs: Milliseconds;
  /**
   * Which of the runs like it this one is taken for, from 0 (the shortest) to 1
   * (the longest): runs with evenly spread ranks end as a pool of them does.
   */
  readonly rank: number;
};

/** Durations of the runs of one kind, as one planner tells them to the next. */
export type RunLengthSummary = {
  /** Absent: the runs of all priorities. */
  readonly priority?: number;
  readonly runs: number;
  /** Logarithm of the typical ratio of actual to nominal time. */
  readonly logScale: number;
  /** Quantiles of the ratios of actual to typical time, evenly spaced. */
  readonly ratios: readonly number[];
};

/** Durations of the runs of one kind. */
type Lengths = {
  runs: number;
  /** Mean logarithm of the ratio of actual to nominal time. */
  logScale: number;
  /** Weights of the ratios of actual to typical time. */
  readonly bins: number[];
  /** Weight of all ratios below the lower edge of each bin. */
  readonly below: number[];
};

/** Durations of the runs of one service, by priority. */
type ServiceLengths = {
  readonly all: Lengths;
  readonly byPriority: Map<number, Lengths>;
};

/** Durations of the runs of one planner. */
export class RunLengths {
  readonly #services = new Map<string, ServiceLengths>();

  /** Records a run that has ended. */
  note(
    { service, priority }: RunKind,
    nominalMs: Milliseconds,
    actualMs: Milliseconds,
  ): void {
    const ratio = Math.max(1, actualMs) / Math.max(1, nominalMs);
    const lengths = this.#serviceOf(service);
    const ofPriority = lengths.byPriority.get(priority) ?? priorLengths();
    lengths.byPriority.set(priority, ofPriority);
    addRun(lengths.all, ratio);
    addRun(ofPriority, ratio);
  }

  /** The durations of a service, of kinds with enough runs. */
  summarize(service: string): RunLengthSummary[] {
    const known = this.#services.get(service);
    if (!known) return [];
    const kinds: [number | undefined, Lengths][] = [
      [undefined, known.all],
      ...known.byPriority,
    ];
    return kinds.filter(([, { runs }]) => runs >= MIN_RUNS)
      .map(([priority, lengths]) => ({
        ...(priority === undefined ? {} : { priority }),
        runs: lengths.runs,
        logScale: lengths.logScale,
        ratios: quantilesOf(lengths),
      }));
  }

  /** Adopts durations of another planner, as far as there are fewer runs. */
  adopt(service: string, summaries: readonly RunLengthSummary[]): void {
    for (const summary of summaries) {
      const { all, byPriority } = this.#serviceOf(service);
      const { priority } = summary;
      const lengths = priority === undefined
        ? all
        : byPriority.get(priority) ?? priorLengths();
      if (priority !== undefined) byPriority.set(priority, lengths);
      adoptRuns(lengths, summary);
    }
  }

  #serviceOf(service: string): ServiceLengths {
    const known = this.#services.get(service);
    if (known) return known;
    const lengths = { all: priorLengths(), byPriority: new Map() };
    this.#services.set(service, lengths);
    return lengths;
  }

  /** How much longer a run is going to take. */
  remainingMs(
    { service, priority }: RunKind,
    { nominalMs, elapsedMs, rank }: RunInProgress,
  ): Milliseconds {
    const ofService = this.#services.get(service);
    const known = ofService?.byPriority.get(priority);
    const lengths = known && known.runs >= MIN_RUNS ? known : ofService?.all;
    const typicalMs = lengths
      ? Math.max(1, nominalMs * Math.exp(lengths.logScale))
      : INITIAL_RUN_MS;
    const ratio = Math.max(0, elapsedMs) / typicalMs;
    return typicalMs * remainingRatio(lengths ?? PRIOR, ratio, rank);
  }
}

function addRun(lengths: Lengths, ratio: number): void {
  const { bins } = lengths;
  lengths.runs += 1;
  const share = 1 / Math.min(lengths.runs, SCALE_RUNS);
  lengths.logScale += (Math.log(ratio) - lengths.logScale) * share;
  for (let bin = 0; bin < bins.length; bin++) {
    bins[bin] = (bins[bin] ?? 0) * DECAY;
  }
  addWeight(bins, ratio / Math.exp(lengths.logScale), 1);
  sumBelow(lengths);
}

/** Counts the runs of a summary as a few runs, less those that are known. */
function adoptRuns(
  lengths: Lengths,
  { runs, logScale, ratios }: RunLengthSummary,
): void {
  const missing = Math.min(MIN_RUNS, runs) - lengths.runs;
  if (missing <= 0 || ratios.length === 0) return;
  lengths.runs += missing;
  lengths.logScale += (logScale - lengths.logScale) * missing / lengths.runs;
  for (const ratio of ratios) {
    addWeight(lengths.bins, ratio, missing / ratios.length);
  }
  sumBelow(lengths);
}

function quantilesOf(lengths: Lengths): number[] {
  const total = lengths.below[BIN_COUNT] ?? 0;
  return Array.from(
    { length: SUMMARY_QUANTILES },
    (_, index) => ratioAt(lengths, total * (index + 0.5) / SUMMARY_QUANTILES),
  );
}

function addWeight(bins: number[], ratio: number, weight: number): void {
  const bin = Math.max(0, Math.min(BIN_COUNT - 1, binOf(ratio)));
  bins[bin] = (bins[bin] ?? 0) + weight;
}

function sumBelow({ bins, below }: Lengths): void {
  let sum = 0;
  for (let bin = 0; bin < bins.length; bin++) {
    below[bin] = sum;
    sum += bins[bin] ?? 0;
  }
  below[BIN_COUNT] = sum;
}

/** The remaining part of a run that has come to `ratio`, in typical times. */
function remainingRatio(
  lengths: Lengths,
  ratio: number,
  rank: number,
): number {
  const total = lengths.below[BIN_COUNT] ?? 0;
  const passed = weightBelow(lengths, ratio);
  if (total - passed < SMALLEST_WEIGHT) {
    return OVERDUE_SHARE / Math.max(1, ratio);
  }
  const end = ratioAt(lengths, passed + rank * (total - passed));
  return Math.max(0, end - ratio);
}

/** The weight of the runs that took less than `ratio`. */
function weightBelow({ bins, below }: Lengths, ratio: number): number {
  const bin = Math.max(0, binOf(ratio));
  if (bin >= BIN_COUNT) return below[BIN_COUNT] ?? 0;
  const lower = edgeOf(bin);
  const share = (ratio - lower) / (edgeOf(bin + 1) - lower);
  return (below[bin] ?? 0) + (bins[bin] ?? 0) * share;
}

/** The ratio that runs of the weight `target` stay below. */
function ratioAt({ bins, below }: Lengths, target: number): number {
  let low = 0;
  let high = BIN_COUNT - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((below[middle + 1] ?? 0) < target) low = middle + 1;
    else high = middle;
  }
  const lower = edgeOf(low);
  const weight = bins[low] ?? 0;
  const share = weight > 0 ? (target - (below[low] ?? 0)) / weight : 0;
  return lower + (edgeOf(low + 1) - lower) * share;
}

/** The bin of a ratio; negative below the first, BIN_COUNT above the last. */
function binOf(ratio: number): number {
  const position = (Math.log2(ratio) - SMALLEST_LOG2) * BINS_PER_DOUBLING;
  return Math.min(BIN_COUNT, Math.floor(position));
}

/** The smallest ratio of each bin; the first bin begins at 0. */
const EDGES = Array.from(
  { length: BIN_COUNT + 1 },
  (_, bin) => bin === 0 ? 0 : 2 ** (SMALLEST_LOG2 + bin / BINS_PER_DOUBLING),
);

function edgeOf(bin: number): number {
  return EDGES[bin] ?? Infinity;
}

function priorLengths(): Lengths {
  const bins = new Array<number>(BIN_COUNT).fill(0);
  for (const ratio of PRIOR_RATIOS) addWeight(bins, ratio, PRIOR_WEIGHT);
  const lengths = { runs: 0, logScale: 0, bins, below: [] };
  sumBelow(lengths);
  return lengths;
}

const PRIOR = priorLengths();
