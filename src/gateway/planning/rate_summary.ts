/**
 * What a planner knows of the replicas of one service, as it is passed on to
 * the next planner. In messages, records are arrays, to save bytes.
 */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import { EjectionReason, type EjectionSummary } from "./ejection.ts";
import type { PrefillTimes } from "./ledger.ts";
import type { RunLengthSummary } from "./run_lengths.ts";
import { type SlownessEstimate, Work } from "./speed_model.ts";

/** What a planner knows of one replica; parts that it lacks are absent. */
export type ReplicaSummary = {
  readonly incarnation: string;
  readonly speed?: SlownessEstimate;
  readonly firstEvent?: SlownessEstimate;
  readonly prefill?: PrefillTimes;
  /** Prompt tokens that it prefills in a second. */
  readonly prefillRate?: number;
  readonly ejection?: EjectionSummary;
};

/** What a planner knows of the replicas of one service. */
export type RateSummary = {
  /** Durations at the median replica. */
  readonly unitMs: ReadonlyMap<Work, Milliseconds>;
  readonly eventsPerToken: number | undefined;
  readonly lengths: readonly RunLengthSummary[];
  readonly replicas: readonly ReplicaSummary[];
};

/** Older summaries are neither sent nor adopted. */
export const MAX_SUMMARY_AGE_MS = 30_000;
/**
 * Maximum number of replicas in a summary; more of them would make the interval
 * between two summaries longer than they are valid.
 */
export const MAX_SUMMARY_REPLICAS = 60;
/** Maximum number of priorities whose run lengths are in a summary. */
const MAX_KINDS = 8;
const MAX_INCARNATION_LENGTH = 200;
const MAX_RATIOS = 20;
const MAX_WEIGHT = 1e6;
const MAX_DURATION_MS = 1e6;
const MAX_PER_TOKEN = 1000;
const MAX_RATE = 1e9;
const MAX_LEVEL = 100;
/** Bounds of logarithms: of the slowness of a replica, of typical run times. */
const MAX_SLOWNESS = 5;
const MAX_LOG_SCALE = 10;
/** Bound of the ratios of run times. */
const MAX_RATIO = 1000;
/** Bound of small positive numbers. */
const MIN_POSITIVE = 1e-6;

const Duration = z.number().min(0).max(MAX_DURATION_MS);
const Weight = z.number().min(0).max(MAX_WEIGHT);
const Slowness = z.number().min(-MAX_SLOWNESS).max(MAX_SLOWNESS);
const Positive = z.number().positive();

const EstimateSchema = z.tuple([Slowness, Weight, Slowness, Weight])
  .transform(([steady, steadyWeight, recent, recentWeight]) => ({
    steady,
    steadyWeight,
    recent,
    recentWeight,
  }));

const ReplicaSchema = z.object({
  id: z.string().min(1).max(MAX_INCARNATION_LENGTH),
  /** See {@link SlownessEstimate}, in the order of its fields. */
  speed: EstimateSchema.exactOptional(),
  first: EstimateSchema.exactOptional(),
  /** See {@link PrefillTimes}, in the order of its fields. */
  prefill: z.tuple([Duration, Duration, Weight])
    .transform(([shortMs, longMs, weight]) => ({ shortMs, longMs, weight }))
    .exactOptional(),
  rate: Positive.max(MAX_RATE).exactOptional(),
  /** See {@link EjectionSummary}, in the order of its fields. */
  ejected: z.tuple([
    z.enum(EjectionReason),
    z.number().int().min(0).max(MAX_LEVEL),
    Duration,
  ]).transform(([reason, level, trialInMs]) => ({ reason, level, trialInMs }))
    .exactOptional(),
});

const RunLengthSchema = z.object({
  priority: z.number().exactOptional(),
  runs: z.number().int().min(0),
  logScale: z.number().min(-MAX_LOG_SCALE).max(MAX_LOG_SCALE),
  ratios: z.array(z.number().min(0).max(MAX_RATIO)).max(MAX_RATIOS),
});

const SummarySchema = z.object({
  units: z.array(z.tuple([z.enum(Work), Positive.max(MAX_DURATION_MS)]))
    .max(Object.keys(Work).length),
  perToken: Positive.max(MAX_PER_TOKEN).exactOptional(),
  lengths: z.array(RunLengthSchema).max(MAX_KINDS + 1),
  replicas: z.array(ReplicaSchema).max(MAX_SUMMARY_REPLICAS),
});

/** Parses a summary of a message; undefined if any part is invalid. */
export function parseRateSummary(message: unknown): RateSummary | undefined {
  const read = SummarySchema.safeParse(message);
  if (!read.success) return undefined;
  const { units, perToken, lengths, replicas } = read.data;
  return {
    unitMs: new Map(units),
    eventsPerToken: perToken,
    lengths,
    replicas: replicas.map(({ id, speed, first, prefill, rate, ejected }) => ({
      incarnation: id,
      ...(speed && { speed }),
      ...(first && { firstEvent: first }),
      ...(prefill && { prefill }),
      ...(rate !== undefined && { prefillRate: rate }),
      ...(ejected && { ejection: ejected }),
    })),
  };
}

/**
 * The summary for a message, with the most different replicas if there are too
 * many. Values are limited to what {@link parseRateSummary} accepts.
 */
export function formatRateSummary(
  { unitMs, eventsPerToken, lengths, replicas }: RateSummary,
): z.input<typeof SummarySchema> {
  const chosen = replicas.filter(({ incarnation }) =>
    incarnation.length <= MAX_INCARNATION_LENGTH
  ).sort((a, b) => oddness(b) - oddness(a)).slice(0, MAX_SUMMARY_REPLICAS);
  return {
    units: [...unitMs].map((
      [work, ms],
    ) => [work, positive(ms, MAX_DURATION_MS)]),
    ...(eventsPerToken !== undefined &&
      { perToken: positive(eventsPerToken, MAX_PER_TOKEN) }),
    lengths: lengths.slice(0, MAX_KINDS + 1).map((summary) => ({
      ...summary,
      logScale: signed(summary.logScale, MAX_LOG_SCALE),
      ratios: summary.ratios.map((ratio) => bounded(ratio, MAX_RATIO)),
    })),
    replicas: chosen.map(formatReplica),
  };
}

function formatReplica(
  { incarnation, speed, firstEvent, prefill, prefillRate, ejection }:
    ReplicaSummary,
): z.input<typeof ReplicaSchema> {
  return {
    id: incarnation,
    ...(speed && { speed: formatEstimate(speed) }),
    ...(firstEvent && { first: formatEstimate(firstEvent) }),
    ...(prefill && {
      prefill: [
        bounded(prefill.shortMs, MAX_DURATION_MS),
        bounded(prefill.longMs, MAX_DURATION_MS),
        bounded(prefill.weight, MAX_WEIGHT),
      ],
    }),
    ...(prefillRate !== undefined && { rate: positive(prefillRate, MAX_RATE) }),
    ...(ejection && {
      ejected: [
        ejection.reason,
        Math.min(MAX_LEVEL, ejection.level),
        bounded(ejection.trialInMs, MAX_DURATION_MS),
      ],
    }),
  };
}

function formatEstimate(
  { steady, steadyWeight, recent, recentWeight }: SlownessEstimate,
): z.input<typeof EstimateSchema> {
  return [
    signed(steady, MAX_SLOWNESS),
    bounded(steadyWeight, MAX_WEIGHT),
    signed(recent, MAX_SLOWNESS),
    bounded(recentWeight, MAX_WEIGHT),
  ];
}

/** How much a new planner gains by knowing the replica. */
function oddness({ speed, ejection }: ReplicaSummary): number {
  if (ejection) return MAX_SLOWNESS;
  return speed ? Math.max(Math.abs(speed.steady), Math.abs(speed.recent)) : 0;
}

function positive(value: number, max: number): number {
  return Math.max(MIN_POSITIVE, bounded(value, max));
}

function signed(value: number, max: number): number {
  return Math.sign(value) * bounded(Math.abs(value), max);
}

/** At most `max`, with three significant digits. */
function bounded(value: number, max: number): number {
  return Number(Math.min(max, Math.max(0, value)).toPrecision(3));
}
