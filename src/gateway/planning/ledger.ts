/** Records what a planner has assigned to each replica. */
import type { Milliseconds } from "../../util/units.ts";
import { CustomerUse } from "./customer_use.ts";
import type { Reservations } from "./memory_reports.ts";
import {
  addSample,
  computeLine,
  createLineFit,
  type Line,
  type LineFit,
} from "../../util/line_fit.ts";

/**
 * Prefill times assumed before the first sample: two points, so that a few
 * samples close together can't tilt the fitted line.
 */
const PRIOR_SAMPLES = [{ x: 500, y: 75 }, { x: 6000, y: 290 }];
/** Number of times that each prior sample is added. */
const PRIOR_WEIGHT = 3;
/** The weight of a fit without measured samples. */
const MIN_FIT_WEIGHT = PRIOR_WEIGHT * PRIOR_SAMPLES.length;
/** Weight of the previous samples in the fit of prefill times. */
const FIT_DECAY = 0.95;

/** Maximum weight of the prefill times of another planner. */
const MAX_ADOPTED_WEIGHT = 12;

/** Prefill times of a replica, as one planner tells them to the next. */
export type PrefillTimes = {
  /** Times of a short and of a long prompt, see {@link PRIOR_SAMPLES}. */
  readonly shortMs: Milliseconds;
  readonly longMs: Milliseconds;
  /** Weight of the samples. */
  readonly weight: number;
};

/** One granted assignment. */
export type LedgerEntry = {
  readonly id: string;
  /** Absent when another planner granted it. */
  readonly service: string | undefined;
  /** The host that it was granted to. */
  readonly host: string;
  /** The data hall of that host; absent when another planner granted it. */
  readonly hall?: string;
  readonly decode: string;
  readonly tokens: number;
  /** Replica of the prefill in progress; cleared when the prefill ends. */
  prefill: string | undefined;
  /** The replica that prefills, or has prefilled, its prompt. */
  readonly prefilledBy: string | undefined;
  readonly promptTokens: number;
  /** Tokens that it is expected to generate. */
  readonly outputTokens: number;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  /** The customer that sent it; empty without customers. */
  readonly customer: string;
  /** Identifies the prompt; may be empty. */
  readonly key: string;
  /** The name of its route, at a plain service. */
  readonly route?: string;
  /** It retries a request that ended with an error response elsewhere. */
  readonly retriedFrom?: readonly string[];
  /** Prompt tokens pending at the prefill replica when it was granted. */
  readonly tokensAhead: number;
  readonly grantedAt: Milliseconds;
  /** When its prefill ended, if it is known to have. */
  prefilledAt?: Milliseconds | undefined;
  /** When its first event came, if it is known to have. */
  startedAt?: Milliseconds | undefined;
  /** When the assignment expires if it is not released before. */
  expiresAt: Milliseconds;
  /** Number of the assignment, set when it is added. */
  readonly sequence?: number;
};

/** Assignments by request, with sums by replica. */
export class Ledger {
  readonly #entries = new Map<string, LedgerEntry>();
  readonly #reservedTokens = new Map<string, number>();
  readonly #pendingPromptTokens = new Map<string, number>();
  readonly #fits = new Map<string, LineFit>();
  #added = 0;
  /** No assignment expires earlier. */
  #nextExpiryAt: Milliseconds = Infinity;
  /** What the assignments of each customer reserve. */
  readonly customers = new CustomerUse();

  /** Memory reserved at a decode replica, in tokens. */
  reservedTokensAt(replica: string): number {
    return this.#reservedTokens.get(replica) ?? 0;
  }

  /** Time that a prefill replica needs for the prefills in its backlog. */
  backlogMs(replica: string): Milliseconds {
    return this.backlogAt(replica) *
      this.prefillLineOf(replica).slope;
  }

  /** Prompt tokens assigned to a prefill replica and not processed yet. */
  backlogAt(replica: string): number {
    return this.#pendingPromptTokens.get(replica) ?? 0;
  }

  /** Prefill time at an idle replica as a line over prompt tokens. */
  prefillLineOf(replica: string): Line {
    return computeLine(this.#fitOf(replica)) ?? { base: 0, slope: 1 };
  }

  /** The assignment of a request. */
  get(id: string): LedgerEntry | undefined {
    return this.#entries.get(id);
  }

  /** Memory of runs that have started, and of those that have not, in tokens. */
  memoryByUse(): { readonly running: number; readonly reserved: number } {
    let running = 0;
    let reserved = 0;
    for (const { tokens, startedAt, prefilledAt } of this.#entries.values()) {
      if ((startedAt ?? prefilledAt) !== undefined) running += tokens;
      else reserved += tokens;
    }
    return { running, reserved };
  }

  /** What is reserved at each decode replica for requests of a service. */
  reservationsOf(service: string): Reservations[] {
    const decodes = new Set<string>();
    for (const { service: name, decode } of this.#entries.values()) {
      if (name === service) decodes.add(decode);
    }
    return [...decodes].map((incarnation) => ({
      incarnation,
      tokens: this.reservedTokensAt(incarnation),
    }));
  }

  /** All assignments. */
  entries(): Iterable<LedgerEntry> {
    return this.#entries.values();
  }

  /** Adds an assignment, replacing an earlier one of the same request. */
  add(entry: LedgerEntry): void {
    this.remove(entry.id);
    this.#added += 1;
    this.#entries.set(entry.id, {
      prefilledAt: undefined,
      startedAt: undefined,
      ...entry,
      sequence: this.#added,
    });
    this.#nextExpiryAt = Math.min(this.#nextExpiryAt, entry.expiresAt);
    this.customers.add(entry);
    addTo(this.#reservedTokens, entry.decode, entry.tokens);
    if (entry.prefill === undefined) return;
    addTo(this.#pendingPromptTokens, entry.prefill, entry.promptTokens);
  }

  /**
   * Ends the request's prefill and adds the time of a successful one to the
   * replica's fit. Returns the assignment if its prefill was in progress.
   */
  endPrefill(
    id: string,
    spentMs: Milliseconds | undefined,
    now: Milliseconds,
  ): LedgerEntry | undefined {
    const entry = this.#entries.get(id);
    const replica = entry?.prefill;
    if (!entry || replica === undefined) return undefined;
    entry.prefill = undefined;
    entry.prefilledAt = now;
    addTo(this.#pendingPromptTokens, replica, -entry.promptTokens);
    // Queueing behind other prefills would distort the sample.
    if (spentMs === undefined || entry.tokensAhead > 0) return entry;
    const sample = { x: entry.promptTokens, y: spentMs };
    addSample(this.#fitOf(replica), sample, FIT_DECAY);
    return entry;
  }

  /** Records how long a request has been running. */
  noteRunning(id: string, runMs: Milliseconds, now: Milliseconds): void {
    const entry = this.#entries.get(id);
    if (entry) entry.startedAt ??= now - runMs;
  }

  /** The measured prefill times; undefined before a sample. */
  prefillTimesOf(replica: string): PrefillTimes | undefined {
    const fit = this.#fits.get(replica);
    const line = fit && computeLine(fit);
    if (!line || fit.weight <= MIN_FIT_WEIGHT) return undefined;
    const [shortMs = 0, longMs = 0] = PRIOR_SAMPLES.map(({ x }) =>
      Math.max(0, line.base + line.slope * x)
    );
    return { shortMs, longMs, weight: fit.weight };
  }

  /** Replaces the prefill times by those of another planner. */
  adoptPrefillTimes(
    replica: string,
    { shortMs, longMs, weight }: PrefillTimes,
  ): void {
    const times = [shortMs, longMs];
    const samples = PRIOR_SAMPLES.map(({ x }, index) => ({
      x,
      y: times[index] ?? 0,
    }));
    this.#fits.set(
      replica,
      fitOf(samples, Math.min(MAX_ADOPTED_WEIGHT, weight)),
    );
  }

  #fitOf(replica: string): LineFit {
    const known = this.#fits.get(replica);
    if (known) return known;
    const fit = fitOf(PRIOR_SAMPLES, MIN_FIT_WEIGHT);
    this.#fits.set(replica, fit);
    return fit;
  }

  /** Removes an assignment and releases what it reserved. */
  remove(id: string): LedgerEntry | undefined {
    const entry = this.#entries.get(id);
    if (!entry) return undefined;
    this.#entries.delete(id);
    this.customers.remove(entry);
    addTo(this.#reservedTokens, entry.decode, -entry.tokens);
    if (entry.prefill !== undefined) {
      addTo(this.#pendingPromptTokens, entry.prefill, -entry.promptTokens);
    }
    return entry;
  }

  /** Limits the TTL of an unreachable host's assignments to `expiresAt`. */
  limitHostExpiry(host: string, expiresAt: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      if (entry.host === host) {
        entry.expiresAt = Math.min(entry.expiresAt, expiresAt);
      }
    }
    this.#nextExpiryAt = Math.min(this.#nextExpiryAt, expiresAt);
  }

  /** Removes the assignments that have expired. */
  expire(now: Milliseconds): void {
    if (now < this.#nextExpiryAt) return;
    this.#nextExpiryAt = Infinity;
    for (const { id, expiresAt } of this.#entries.values()) {
      if (now >= expiresAt) this.remove(id);
      else this.#nextExpiryAt = Math.min(this.#nextExpiryAt, expiresAt);
    }
  }
}

/** A fit of samples that together have the weight. */
function fitOf(
  samples: readonly { readonly x: number; readonly y: number }[],
  weight: number,
): LineFit {
  const fit = createLineFit();
  for (const sample of samples) addSample(fit, sample, 1);
  const factor = weight / fit.weight;
  return {
    weight,
    x: fit.x * factor,
    y: fit.y * factor,
    xx: fit.xx * factor,
    xy: fit.xy * factor,
  };
}

function addTo(
  sums: Map<string, number>,
  replica: string,
  delta: number,
): void {
  const sum = (sums.get(replica) ?? 0) + delta;
  if (sum <= 0) sums.delete(replica);
  else sums.set(replica, sum);
}
