/**
 * Estimates how slow each replica of a service is, relative to its pool, from
 * the durations of its work. The load that it answers: replicas that differ in
 * speed by a factor of two, or become several times slower for some seconds,
 * while the duration of each run varies by more than that.
 */
import type { Milliseconds } from "../../util/units.ts";
import { DecayingMean } from "./decaying_mean.ts";

/** Kinds of work; their durations are compared only within a kind. */
export const Work = {
  /** One event of a stream. */
  decode: "decode",
  /** The prefill of one prompt token. */
  prefill: "prefill",
  /** One plain request. */
  call: "call",
  /** The time to the first event of a run. */
  firstEvent: "first-event",
} as const;
/** One of the values of {@link Work}. */
export type Work = typeof Work[keyof typeof Work];

/** A measured duration. */
export type SpeedSample = {
  readonly work: Work;
  /** Duration of one unit of the work. */
  readonly unitMs: Milliseconds;
  /** At most 1; less for a sample over little work. */
  readonly weight: number;
};

/**
 * How slow a replica is, as logarithms relative to the median replica, and the
 * weights of the samples.
 */
export type SlownessEstimate = {
  readonly steady: number;
  readonly steadyWeight: number;
  readonly recent: number;
  readonly recentWeight: number;
};

/** Estimates of a model, to be adopted by another one. */
export type SpeedSummary = {
  /** Duration of one unit at the median replica, by kind of work. */
  readonly unitMs: ReadonlyMap<Work, Milliseconds>;
  /** By incarnation. */
  readonly replicas: ReadonlyMap<string, SlownessEstimate>;
};

/** Decay of the samples of the recent and of the steady estimate. */
const RECENT_DECAY_MS = 3000;
const STEADY_DECAY_MS = 30_000;
/**
 * Decay of the estimate for placement while a replica has no samples, so that
 * one that looks slow is tried again.
 */
const IDLE_DECAY_MS = 10_000;
/** Samples of a kind of work before replicas are compared by it. */
const REFERENCE_MIN_WEIGHT = 6;
const REFERENCE_MAX_WEIGHT = 300;
/** Samples of a replica before its estimate is passed on. */
const SUMMARY_MIN_WEIGHT = 4;
/** Limit of one sample's deviation, as a logarithm. */
const MAX_DEVIATION = Math.log(8);
/** Replicas with less weight are forgotten. */
const MIN_WEIGHT = 0.02;
/**
 * The latest samples of a replica are grouped by time, because one slow spell
 * of a fraction of a second slows many of them: the time that a group covers,
 * how many groups are kept, how many are needed, and for how long they count.
 */
const GROUP_MS = 300;
const MAX_GROUPS = 5;
const MIN_GROUPS = 3;
const GROUP_MAX_AGE_MS = 4000;
/** Interval at which the medians are computed. */
const MEDIAN_INTERVAL_MS = 100;

type SampleGroup = { readonly at: Milliseconds; sum: number; weight: number };
type ReplicaSlowness = {
  recent: DecayingMean;
  readonly steady: DecayingMean;
  latest: SampleGroup[];
  /** When an estimate of another model was adopted. */
  adoptedAt?: Milliseconds;
  /** The recent estimate when the medians were last computed. */
  current: number;
};
type Reference = { mean: number; weight: number };
type Medians = {
  readonly at: Milliseconds;
  readonly steady: number;
  readonly recent: number;
};

/** Slowness of the replicas of one service; all values are logarithms. */
export class SpeedModel {
  readonly #replicas = new Map<string, ReplicaSlowness>();
  readonly #references = new Map<Work, Reference>();
  #medians: Medians = { at: -Infinity, steady: 0, recent: 0 };

  /** Adds a measured duration of a replica's work. */
  add(incarnation: string, sample: SpeedSample, now: Milliseconds): void {
    const { work, unitMs, weight } = sample;
    if (!(unitMs > 0) || !(weight > 0)) return;
    const value = Math.log(unitMs);
    const reference = this.#references.get(work) ?? { mean: 0, weight: 0 };
    this.#references.set(work, reference);
    if (reference.weight < REFERENCE_MIN_WEIGHT) {
      return updateReference(reference, value, weight);
    }
    const replica = this.#replicaOf(incarnation);
    const deviation = clamp(value - reference.mean, MAX_DEVIATION);
    replica.recent.add(deviation, weight, now);
    replica.steady.add(deviation, weight, now);
    addToGroup(replica.latest, { deviation, weight }, now);
    const explained = this.#steady(replica, now);
    updateReference(reference, value - explained, weight);
  }

  /** Slowness over about half a minute, compared with the median replica. */
  steadySlowness(incarnation: string, now: Milliseconds): number {
    const replica = this.#replicas.get(incarnation);
    if (!replica) return 0;
    return this.#steady(replica, now) - this.#mediansAt(now).steady;
  }

  /**
   * Median of the latest groups of samples, compared with the median replica; undefined
   * if they are too few.
   */
  latestSlowness(incarnation: string, now: Milliseconds): number | undefined {
    const all = this.#replicas.get(incarnation)?.latest ?? [];
    const latest = all.filter(({ at }) => now - at < GROUP_MAX_AGE_MS);
    if (latest.length < MIN_GROUPS) return undefined;
    const median = medianOf(latest.map(({ sum, weight }) => sum / weight)) ?? 0;
    return median - this.#mediansAt(now).recent;
  }

  /** Duration of one unit at a replica; undefined before enough samples. */
  unitMs(
    work: Work,
    incarnation: string,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const reference = this.#references.get(work);
    if (!reference || reference.weight < REFERENCE_MIN_WEIGHT) return undefined;
    const medians = this.#mediansAt(now);
    const slowness = this.#replicas.get(incarnation)?.current ?? medians.recent;
    return Math.exp(reference.mean + slowness);
  }

  /** Slowness of one sample, compared with the median replica. */
  deviation({ work, unitMs }: SpeedSample, now: Milliseconds): number {
    const reference = this.#references.get(work);
    if (!reference || reference.weight < REFERENCE_MIN_WEIGHT) return 0;
    return Math.log(unitMs) - reference.mean - this.#mediansAt(now).recent;
  }

  /** The estimates that rest on enough samples. */
  summarize(now: Milliseconds): SpeedSummary {
    const medians = this.#mediansAt(now);
    const unitMs = new Map<Work, Milliseconds>();
    for (const [work, { mean, weight }] of this.#references) {
      if (weight < REFERENCE_MIN_WEIGHT) continue;
      unitMs.set(work, Math.exp(mean + medians.recent));
    }
    const replicas = new Map<string, SlownessEstimate>();
    for (const [incarnation, { steady, recent }] of this.#replicas) {
      const steadyWeight = steady.weight(now);
      if (steadyWeight < SUMMARY_MIN_WEIGHT) continue;
      replicas.set(incarnation, {
        steady: steady.mean(now) - medians.steady,
        steadyWeight,
        recent: recent.mean(now) - medians.recent,
        recentWeight: recent.weight(now),
      });
    }
    return { unitMs, replicas };
  }

  /**
   * Adopts estimates of another model as far as this one has fewer samples;
   * returns the incarnations of which it adopted one.
   */
  adopt(
    { unitMs, replicas }: SpeedSummary,
    ageMs: Milliseconds,
    now: Milliseconds,
  ): string[] {
    const { steady, recent } = this.#mediansAt(now);
    for (const [work, duration] of unitMs) {
      const weight = this.#references.get(work)?.weight ?? 0;
      if (weight >= REFERENCE_MIN_WEIGHT) continue;
      const mean = Math.log(duration) - recent;
      this.#references.set(work, { mean, weight: REFERENCE_MIN_WEIGHT });
    }
    const adopted: string[] = [];
    for (const [incarnation, estimate] of replicas) {
      const replica = this.#replicaOf(incarnation);
      const { steadyWeight, recentWeight } = estimate;
      const isAdopted = replica.steady.adopt({
        value: steady + estimate.steady,
        weight: steadyWeight,
        ageMs,
      }, now);
      if (!isAdopted) continue;
      adopted.push(incarnation);
      replica.adoptedAt = now;
      const value = recent + estimate.recent;
      replica.recent.adopt({ value, weight: recentWeight, ageMs }, now);
    }
    if (adopted.length > 0) this.#medians = { ...this.#medians, at: -Infinity };
    return adopted;
  }

  /** Forgets the recent samples of a replica. */
  forgetRecent(incarnation: string): void {
    const replica = this.#replicas.get(incarnation);
    if (!replica) return;
    replica.recent = new DecayingMean(RECENT_DECAY_MS);
    replica.latest = [];
  }

  #replicaOf(incarnation: string): ReplicaSlowness {
    const known = this.#replicas.get(incarnation);
    if (known) return known;
    const replica = {
      recent: new DecayingMean(RECENT_DECAY_MS),
      steady: new DecayingMean(STEADY_DECAY_MS),
      latest: [],
      current: this.#medians.recent,
    };
    this.#replicas.set(incarnation, replica);
    return replica;
  }

  #steady({ steady }: ReplicaSlowness, now: Milliseconds): number {
    return steady.shrunk(this.#mediansAt(now).steady, now);
  }

  #mediansAt(now: Milliseconds): Medians {
    if (now - this.#medians.at < MEDIAN_INTERVAL_MS) return this.#medians;
    const before = this.#medians;
    // Without recent samples, a replica has changed as the median one has.
    const change = before.recent - before.steady;
    const steady: number[] = [];
    const recent: number[] = [];
    for (const [incarnation, replica] of this.#replicas) {
      if (replica.steady.weight(now) < MIN_WEIGHT) {
        this.#replicas.delete(incarnation);
        continue;
      }
      const slowness = replica.steady.shrunk(before.steady, now);
      const { latest, adoptedAt = now } = replica;
      const idleMs = now - (latest.at(-1)?.at ?? adoptedAt);
      const kept = Math.exp(-idleMs / IDLE_DECAY_MS);
      const expected = before.steady + (slowness - before.steady) * kept;
      replica.current = replica.recent.shrunk(expected + change, now);
      steady.push(slowness);
      if (replica.recent.weight(now) < MIN_WEIGHT) continue;
      recent.push(replica.current);
    }
    const medianSteady = medianOf(steady) ?? 0;
    this.#medians = {
      at: now,
      steady: medianSteady,
      recent: medianOf(recent) ?? medianSteady,
    };
    return this.#medians;
  }
}

function addToGroup(
  groups: SampleGroup[],
  { deviation, weight }: {
    readonly deviation: number;
    readonly weight: number;
  },
  now: Milliseconds,
): void {
  const last = groups.at(-1);
  if (last && now - last.at < GROUP_MS) {
    last.sum += deviation * weight;
    last.weight += weight;
    return;
  }
  groups.push({ at: now, sum: deviation * weight, weight });
  if (groups.length > MAX_GROUPS) groups.shift();
}

function updateReference(
  reference: Reference,
  value: number,
  weight: number,
): void {
  reference.weight = Math.min(REFERENCE_MAX_WEIGHT, reference.weight + weight);
  reference.mean += (value - reference.mean) * weight / reference.weight;
}

function clamp(value: number, limit: number): number {
  return Math.max(-limit, Math.min(limit, value));
}

/** The median; of an even number, the smaller of the two in the middle. */
function medianOf(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
