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
    const known = this.#services.get(service);
    const lengths = known ?? { all: priorLengths(), byPriority: new Map() };
    if (!known) this.#services.set(service, lengths);
    const ofPriority = lengths.byPriority.get(priority) ?? priorLengths();
    lengths.byPriority.set(priority, ofPriority);
    addRun(lengths.all, ratio);
    addRun(ofPriority, ratio);
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
  for (const [bin, weight] of bins.entries()) bins[bin] = weight * DECAY;
  addWeight(bins, ratio / Math.exp(lengths.logScale), 1);
  sumBelow(lengths);
}

function addWeight(bins: number[], ratio: number, weight: number): void {
  const bin = Math.max(0, Math.min(BIN_COUNT - 1, binOf(ratio)));
  bins[bin] = (bins[bin] ?? 0) + weight;
}

function sumBelow({ bins, below }: Lengths): void {
  let sum = 0;
  for (const [bin, weight] of bins.entries()) {
    below[bin] = sum;
    sum += weight;
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
