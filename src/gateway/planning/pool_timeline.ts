/**
 * Simulates how the replicas of a model service serve a queue, one request after
 * the other, on top of the runs that they have been assigned. Places in time are
 * given out in the order of the calls, so a request can't take the place of one
 * that was simulated before.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import {
  hasRequiredVersion,
  type RequiredVersion,
} from "../replicas/required_version.ts";
import type { Ledger, LedgerEntry } from "./ledger.ts";
import type { MemoryUse, ServiceForecast } from "./memory_profile.ts";
import { type MemoryNeed, MemoryTimeline } from "./memory_timeline.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";
import type { ReplicaRates } from "./replica_rates.ts";
import type { RunKind, RunLengths } from "./run_lengths.ts";

/** Prefill work that is assigned to a replica in advance. */
const PREFILL_BACKLOG_MS = 60;
/** Rank of a run that hasn't been assigned yet: the median. */
const MEDIAN_RANK = 0.5;
/** Successive ranks by this step are spread evenly: the golden ratio. */
const RANK_STEP = (Math.sqrt(5) - 1) / 2;

/** What is simulated of a request. */
export type SimulatedRequest = {
  readonly service: string;
  readonly priority: number;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly excluded: readonly string[];
  /** The version that its decode replica must have; absent: any will do. */
  readonly boundTo?: RequiredVersion;
};

/** A place in time for one request. */
export type Place = ServiceForecast & {
  readonly decode: ReplicaEntry;
  /** The replica that prefills the prompt; undefined without any. */
  readonly prefill: ReplicaEntry | undefined;
  readonly use: MemoryUse;
};

/** A place that has been taken. */
export type TakenPlace = {
  readonly place: Place;
  /** When its prefill replica was free before. */
  readonly prefillFreeAt: Milliseconds;
};

/** When the decode replica at an index has room. */
type Fit = {
  readonly index: number;
  readonly at: Milliseconds;
};

/** Options of {@link PoolTimeline}. */
export type PoolTimelineOptions = {
  readonly pool: Pick<
    PoolSnapshot,
    "memory" | "healthyDecodes" | "healthyPrefills" | "prefillMs"
  >;
  readonly ledger: Ledger;
  readonly rates: ReplicaRates;
  readonly lengths: RunLengths;
  readonly now: Milliseconds;
  /** Time from the end of a prefill to the first event. */
  readonly firstEventMs: Milliseconds;
};

/** The replicas of one service over the next seconds. */
export class PoolTimeline {
  readonly #options: PoolTimelineOptions;
  /** The memory of each decode replica, in the order of the pool. */
  readonly #memories: readonly MemoryTimeline[];
  readonly #memoryOf = new Map<ReplicaEntry, MemoryTimeline>();
  /** When each decode replica may have room for the request at hand. */
  readonly #openings: Float64Array;
  /** Not longer than any simulated run. */
  #shortestMs: Milliseconds = Infinity;
  #work = 0;
  /**
   * When each prefill replica, in the order of the pool, has processed what it
   * was given.
   */
  readonly #prefillFreeAt: Float64Array;

  constructor(options: PoolTimelineOptions) {
    this.#options = options;
    const { pool, ledger, now } = options;
    const uses = new Map<string, MemoryUse[]>();
    for (const { incarnation } of pool.healthyDecodes) {
      uses.set(incarnation, []);
    }
    for (const entry of ledger.entries()) {
      uses.get(entry.decode)?.push(this.#useOf(entry, now));
    }
    this.#memories = pool.healthyDecodes.map((decode) => {
      const held = uses.get(decode.incarnation) ?? [];
      const capacity = { memory: pool.memory, slots: decode.slots };
      const memory = new MemoryTimeline(capacity, held);
      this.#memoryOf.set(decode, memory);
      return memory;
    });
    this.#openings = new Float64Array(this.#memories.length);
    this.#prefillFreeAt = Float64Array.from(
      pool.healthyPrefills,
      ({ incarnation }) => now + ledger.backlogMs(incarnation),
    );
  }

  /**
   * Work done so far: runs added and removed, and searches of a replica for room.
   */
  get work(): number {
    return this.#work;
  }

  /**
   * The place in which a request is served first, from `now` on; undefined
   * without any.
   */
  placeFor(request: SimulatedRequest, now: Milliseconds): Place | undefined {
    const { pool, firstEventMs } = this.#options;
    const { tokens, promptTokens } = request;
    const prefillIndex = this.#firstPrefill(request);
    const prefillFreeAt = this.#prefillFreeAt[prefillIndex] ?? now;
    const from = Math.max(now, prefillFreeAt - PREFILL_BACKLOG_MS);
    const best = this.#firstFit(request, from);
    const decode = best && pool.healthyDecodes[best.index];
    if (!decode) return undefined;
    const startsAt = best.at;
    const prefilledAt = Math.max(startsAt, prefillFreeAt) +
      pool.prefillMs(promptTokens);
    return {
      startsAt,
      firstEventAt: prefilledAt + firstEventMs,
      decode,
      prefill: pool.healthyPrefills[prefillIndex],
      use: {
        from: startsAt,
        until: prefilledAt + this.#decodeMs(decode, request),
        tokensFrom: tokens,
        tokensUntil: tokens,
      },
    };
  }

  /** The place of an assigned run; undefined if its replica is unknown. */
  placeOfRun(entry: LedgerEntry, now: Milliseconds): Place | undefined {
    const { pool, ledger, rates } = this.#options;
    const decode = pool.healthyDecodes.find(({ incarnation }) =>
      incarnation === entry.decode
    );
    if (!decode) return undefined;
    const use = this.#useOf(entry, now);
    const firstEventAt = expectedStart({ ledger, rates, now }, entry);
    return { startsAt: now, firstEventAt, decode, prefill: undefined, use };
  }

  /** Takes a place, so that no later request is given it. */
  take(place: Place, promptTokens: number): TakenPlace {
    const { decode, prefill, use } = place;
    this.#work += 1;
    this.#memoryOf.get(decode)?.add(use);
    if (!prefill) return { place, prefillFreeAt: 0 };
    const { ledger, now, pool } = this.#options;
    const index = pool.healthyPrefills.indexOf(prefill);
    const prefillFreeAt = this.#prefillFreeAt[index] ?? now;
    const { slope } = ledger.prefillLineOf(prefill.incarnation);
    this.#prefillFreeAt[index] = Math.max(prefillFreeAt, use.from) +
      slope * promptTokens;
    return { place, prefillFreeAt };
  }

  /** Gives back the place that was taken last of those not given back. */
  release({ place, prefillFreeAt }: TakenPlace): void {
    const { decode, prefill, use } = place;
    this.#work += 1;
    this.#memoryOf.get(decode)?.remove(use);
    if (!prefill) return;
    const index = this.#options.pool.healthyPrefills.indexOf(prefill);
    this.#prefillFreeAt[index] = prefillFreeAt;
  }

  /** Index of the prefill replica that is free first; -1 without any. */
  #firstPrefill({ excluded }: SimulatedRequest): number {
    const { healthyPrefills } = this.#options.pool;
    let first = -1;
    let earliest = Infinity;
    for (let index = 0; index < healthyPrefills.length; index++) {
      const at = this.#prefillFreeAt[index] ?? Infinity;
      if (at >= earliest) continue;
      if (excluded.includes(healthyPrefills[index]?.incarnation ?? "")) {
        continue;
      }
      earliest = at;
      first = index;
    }
    return first;
  }

  /**
   * The replica that has room first, and when; the first of several. Replicas
   * that can't have room before the best one so far aren't searched.
   */
  #firstFit(
    request: SimulatedRequest,
    from: Milliseconds,
  ): Fit | undefined {
    const need = this.#needOf(request);
    const openings = this.#findOpenings(request, need, from);
    const first = indexOfMin(openings);
    if (first === undefined) return undefined;
    let best: Fit = { index: first, at: this.#fitAt(first, need, from) };
    for (let index = 0; index < openings.length; index++) {
      const at = openings[index] ?? Infinity;
      if (index === first || !isBefore(index, at, best)) continue;
      const fitsAt = this.#fitAt(index, need, from);
      if (isBefore(index, fitsAt, best)) best = { index, at: fitsAt };
    }
    return best.at < Infinity ? best : undefined;
  }

  #needOf(request: SimulatedRequest): MemoryNeed {
    const { pool } = this.#options;
    const [first] = pool.healthyDecodes;
    const decodeMs = first ? this.#decodeMs(first, request) : 0;
    const durationMs = pool.prefillMs(request.promptTokens) + decodeMs;
    // Halved, since the openings of all replicas depend on it.
    if (durationMs < this.#shortestMs) this.#shortestMs = durationMs / 2;
    return { tokens: request.tokens, durationMs };
  }

  /** When each replica may have room for a request; Infinity: it may not run. */
  #findOpenings(
    { excluded, boundTo }: SimulatedRequest,
    { tokens }: MemoryNeed,
    from: Milliseconds,
  ): Float64Array {
    const need = { tokens, durationMs: this.#shortestMs };
    const isRestricted = excluded.length > 0 || boundTo !== undefined;
    const decodes = this.#options.pool.healthyDecodes;
    for (let index = 0; index < decodes.length; index++) {
      const decode = decodes[index];
      const mayRun = !isRestricted || decode &&
          !excluded.includes(decode.incarnation) &&
          hasRequiredVersion(decode, boundTo);
      this.#openings[index] = mayRun
        ? this.#memories[index]?.earliestOpening(need, from) ?? Infinity
        : Infinity;
    }
    return this.#openings;
  }

  #fitAt(index: number, need: MemoryNeed, from: Milliseconds): Milliseconds {
    this.#work += 1;
    return this.#memories[index]?.earliestFit(need, from) ?? Infinity;
  }

  /** Expected time from the end of a prefill to the end of a run. */
  #decodeMs(
    { incarnation }: ReplicaEntry,
    request: SimulatedRequest,
  ): Milliseconds {
    const { rates, lengths } = this.#options;
    const runMs = lengths.remainingMs(request, {
      nominalMs: rates.runMs(incarnation, request.outputTokens),
      elapsedMs: 0,
      rank: MEDIAN_RANK,
    });
    return rates.firstEventMs(incarnation) + runMs;
  }

  /** The memory that an assigned run holds until its expected end. */
  #useOf(entry: LedgerEntry, now: Milliseconds): MemoryUse {
    const { ledger, lengths, rates } = this.#options;
    this.#work += 1;
    const startsAt = expectedStart({ ledger, rates, now }, entry);
    const remainingMs = lengths.remainingMs(kindOf(entry), {
      nominalMs: rates.runMs(entry.decode, entry.outputTokens),
      elapsedMs: now - startsAt,
      rank: (entry.sequence ?? 0) * RANK_STEP % 1,
    });
    return {
      from: now,
      until: Math.max(now, startsAt) + remainingMs,
      tokensFrom: entry.tokens,
      tokensUntil: entry.tokens,
    };
  }
}

/** Whether a replica has room earlier, or as early with a smaller index. */
function isBefore(index: number, at: Milliseconds, other: Fit): boolean {
  return at < other.at || (at === other.at && index < other.index);
}

/** The index of the first smallest time; undefined if all are infinite. */
function indexOfMin(times: Float64Array): number | undefined {
  let first: number | undefined;
  let earliest = Infinity;
  for (let index = 0; index < times.length; index++) {
    const at = times[index] ?? Infinity;
    if (at >= earliest) continue;
    earliest = at;
    first = index;
  }
  return first;
}

/** The kind of an assigned run. */
export function kindOf({ service = "", priority }: LedgerEntry): RunKind {
  return { service, priority };
}

/** When the first event of an assigned run came, or is expected. */
export function expectedStart(
  { ledger, rates, now }: Pick<
    PoolTimelineOptions,
    "ledger" | "rates" | "now"
  >,
  entry: LedgerEntry,
): Milliseconds {
  if (entry.startedAt !== undefined) return entry.startedAt;
  const firstEventMs = rates.firstEventMs(entry.decode);
  if (entry.prefilledAt !== undefined) return entry.prefilledAt + firstEventMs;
  const { base, slope } = ledger.prefillLineOf(
    entry.prefilledBy ?? entry.decode,
  );
  const prefilledAt = entry.grantedAt + base +
    slope * (entry.tokensAhead + entry.promptTokens);
  // A prefill in progress can't have ended.
  const isPending = entry.prefill !== undefined;
  return (isPending ? Math.max(now, prefilledAt) : prefilledAt) + firstEventMs;
}
