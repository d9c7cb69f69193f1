/**
 * Simulates how the replicas of a model service serve a queue, one request after
 * the other, on top of the runs that they have been assigned. Places in time are
 * given out in the order of the calls, so a request can't take the place of one
 * that was simulated before.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Ledger, LedgerEntry } from "./ledger.ts";
import type { MemoryUse, ServiceForecast } from "./memory_profile.ts";
import { MemoryTimeline } from "./memory_timeline.ts";
import { minBy } from "./order.ts";
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
};

/** A place in time for one request. */
export type Place = ServiceForecast & {
  readonly decode: ReplicaEntry;
  /** The replica that prefills the prompt; undefined without any. */
  readonly prefill: ReplicaEntry | undefined;
  readonly use: MemoryUse;
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
  readonly #timelines: ReadonlyMap<string, MemoryTimeline>;
  /**
   * When a replica had room for a request of some size. As places are given
   * out, it has room for one at least as large not before.
   */
  readonly #earliest = new Map<
    string,
    { readonly tokens: number; readonly at: Milliseconds }
  >();
  /** When each prefill replica has processed what it was given. */
  readonly #prefillFreeAt = new Map<string, Milliseconds>();

  constructor(options: PoolTimelineOptions) {
    this.#options = options;
    const { pool, ledger, now } = options;
    const uses = new Map<string, MemoryUse[]>();
    for (const { incarnation } of pool.healthyDecodes) {
      uses.set(incarnation, []);
    }
    for (const entry of ledger.entries()) {
      uses.get(entry.decode)?.push(this.#useOf(entry));
    }
    this.#timelines = new Map(
      pool.healthyDecodes.map(({ incarnation, slots }) => {
        const held = uses.get(incarnation) ?? [];
        const capacity = { memory: pool.memory, slots };
        return [incarnation, new MemoryTimeline(capacity, held)];
      }),
    );
    for (const { incarnation } of pool.healthyPrefills) {
      this.#prefillFreeAt.set(
        incarnation,
        now + ledger.backlogMs(incarnation),
      );
    }
  }

  /** The place in which a request is served first; undefined without any. */
  placeFor(request: SimulatedRequest): Place | undefined {
    const { pool, now, firstEventMs } = this.#options;
    const { excluded, promptTokens } = request;
    const prefill = minBy(
      pool.healthyPrefills.filter((replica) =>
        !excluded.includes(replica.incarnation)
      ),
      ({ incarnation }) => this.#prefillFreeAt.get(incarnation) ?? now,
    );
    const prefillFreeAt = prefill
      ? this.#prefillFreeAt.get(prefill.incarnation) ?? now
      : now;
    const from = Math.max(now, prefillFreeAt - PREFILL_BACKLOG_MS);
    const prefillMs = pool.prefillMs(promptTokens);
    const best = this.#firstFit(request, from);
    if (!best) return undefined;
    const prefilledAt = Math.max(best.at, prefillFreeAt) + prefillMs;
    const startsAt = best.at;
    const { tokens } = request;
    return {
      startsAt,
      firstEventAt: prefilledAt + firstEventMs,
      decode: best.decode,
      prefill,
      use: {
        from: startsAt,
        until: prefilledAt + this.#decodeMs(best.decode, request),
        tokensFrom: tokens,
        tokensUntil: tokens,
      },
    };
  }

  /** Takes a place, so that no later request is given it. */
  take({ decode, prefill, use }: Place, promptTokens: number): void {
    this.#timelines.get(decode.incarnation)?.add(use);
    if (!prefill) return;
    const { ledger, now } = this.#options;
    const { incarnation } = prefill;
    const freeAt = this.#prefillFreeAt.get(incarnation) ?? now;
    const workMs = ledger.prefillLineOf(incarnation).slope * promptTokens;
    this.#prefillFreeAt.set(
      incarnation,
      Math.max(freeAt, use.from) + workMs,
    );
  }

  /** The replica that has room first, and when. */
  #firstFit(
    request: SimulatedRequest,
    from: Milliseconds,
  ): { decode: ReplicaEntry; at: Milliseconds } | undefined {
    const { tokens, promptTokens, excluded } = request;
    const { pool } = this.#options;
    const [first] = pool.healthyDecodes;
    if (!first) return undefined;
    const durationMs = pool.prefillMs(promptTokens) +
      this.#decodeMs(first, request);
    let best: { decode: ReplicaEntry; at: Milliseconds } | undefined;
    for (const decode of pool.healthyDecodes) {
      const { incarnation } = decode;
      if (excluded.length > 0 && excluded.includes(incarnation)) continue;
      const earliest = this.#earliest.get(incarnation);
      const bestAt = best?.at ?? Infinity;
      if (earliest && earliest.tokens <= tokens && earliest.at >= bestAt) {
        continue;
      }
      const at = this.#timelines.get(incarnation)
        ?.earliestFit({ tokens, durationMs }, from) ?? Infinity;
      this.#earliest.set(incarnation, { tokens, at });
      if (at < bestAt) best = { decode, at };
      if (at <= from) break;
    }
    return best;
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
  #useOf(entry: LedgerEntry): MemoryUse {
    const { now, lengths, rates } = this.#options;
    const startsAt = expectedStart(this.#options, entry);
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
