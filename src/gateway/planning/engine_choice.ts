/** Selects the prefill and decode replicas of a model engine for a request. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import type { PlanRequest } from "./messages.ts";
import { minBy } from "./order.ts";
import type { PromptLocations } from "./prompt_locations.ts";
import { ratedCandidates, ratedRequest } from "./rated_candidates.ts";
import { EQUAL_RATES, type ReplicaRates } from "./replica_rates.ts";
import { meanOf, significantRatio } from "./time_ratio.ts";
import type { PlannerView } from "./view.ts";

/**
 * Prefill work assigned in advance, in addition to the fixed part of a
 * prefill's time: enough to keep a replica busy for a round trip while the
 * order of the other requests can still change.
 */
const PREFILL_BACKLOG_MS = 60;

/** Share of its memory below which a decode replica does local prefills. */
const LOCAL_PREFILL_MAX_UTILIZATION = 0.6;
/**
 * A request with less time left than this need not wait for a prefill replica.
 */
const LOCAL_PREFILL_SLACK_MS = 700;

/**
 * Decode replicas whose memory use is below this share count as equal, so the
 * hall decides: a response that stays in its hall survives a partition between
 * halls, and its KV cache moves at twice the rate.
 */
const LOW_UTILIZATION = 0.5;
/** Breaks ties by load; small compared with the remote hall penalty. */
const TIE_BREAK_WEIGHT = 0.02;
/**
 * Cost of a prefill in another hall than its decode replica: the KV cache takes
 * twice as long to move, and is lost when the halls are partitioned.
 */
const REMOTE_PREFILL_PENALTY_MS = 60;

/**
 * The decode replica of a request, and the replica that prefills its prompt.
 */
export type EngineAssignment = {
  readonly decode: ReplicaEntry;
  /** Absent: the decode replica does a local prefill. */
  readonly prefill?: ReplicaEntry;
};

/** Candidates for one request. */
export type EngineCandidates = {
  /** The host that sent the request. */
  readonly host: string;
  readonly decodes: readonly ReplicaEntry[];
  /** Only healthy replicas whose limits have room; may be empty. */
  readonly prefills: readonly ReplicaEntry[];
  /**
   * Whether other prefill replicas will be available when their limits have
   * room.
   */
  readonly mayPrefillLater: boolean;
  /** False: no decode replica has room, so the selection is skipped. */
  readonly mayFit: boolean;
  /** Time until the first event is due. */
  readonly slackMs: Milliseconds;
};

/** What a request needs of the memory of a decode replica, in tokens. */
type MemoryNeed = {
  readonly tokens: number;
  /** All memory of a replica. */
  readonly memory: number;
};

/** Options of {@link EngineChoice}. */
export type EngineChoiceOptions = {
  readonly view: PlannerView;
  readonly ledger: Ledger;
  readonly promptLocations: PromptLocations;
  /** Speeds of the replicas; a reload of the settings replaces them. */
  rates(): ReplicaRates;
  /** The replica had no memory recently, or its limit has no room. */
  isFull(incarnation: string, now: Milliseconds): boolean;
};

/** Selects replicas by their reservations and their speeds. */
export class EngineChoice {
  readonly #view: PlannerView;
  readonly #ledger: Ledger;
  readonly #promptLocations: PromptLocations;
  readonly #rates: EngineChoiceOptions["rates"];
  readonly #isFull: EngineChoiceOptions["isFull"];

  constructor(
    { view, ledger, promptLocations, rates, isFull }: EngineChoiceOptions,
  ) {
    this.#view = view;
    this.#ledger = ledger;
    this.#promptLocations = promptLocations;
    this.#rates = rates;
    this.#isFull = isFull;
  }

  /** Selects replicas for a request; undefined: it has to wait. */
  assignmentFor(
    request: PlanRequest,
    candidates: EngineCandidates,
    now: Milliseconds,
  ): EngineAssignment | undefined {
    const { mayPrefillLater, mayFit, slackMs } = candidates;
    const cachedAt = this.#promptLocations.decodeOf(request.key, now);
    if (!mayFit && cachedAt === undefined) return undefined;
    const rated = ratedRequest(candidates.host, request);
    const rates = this.#rates();
    const need = this.#needOf(request);
    const decodes = ratedCandidates(rates, candidates.decodes, {
      request: rated,
      hasRoom: (replica) => this.#hasRoom(replica, need, now),
    }, now);
    const cached = this.#cachedDecodeFor(request, decodes, cachedAt, now);
    if (cached) return { decode: cached };
    const decode = mayFit ? this.decodeFor(request, decodes, now) : undefined;
    if (!decode) return undefined;
    if (request.whole) return { decode };
    const prefills = ratedCandidates(rates, candidates.prefills, {
      request: rated,
      hasRoom: (replica) => !this.#hasBacklog(replica),
    }, now);
    if (prefills.length === 0) {
      const isLocal = !mayPrefillLater ||
        this.prefillsLocally(request, decode, slackMs);
      return isLocal ? { decode } : undefined;
    }
    const prefilledBy = this.#promptLocations.prefillOf(request.key, now);
    const prefillReplica = prefills.find((replica) =>
      replica.incarnation === prefilledBy
    );
    if (prefillReplica) return { decode, prefill: prefillReplica };
    const prefill = this.prefillFor(prefills, decode, request.promptTokens);
    if (!this.#hasBacklog(prefill)) return { decode, prefill };
    return this.prefillsLocally(request, decode, slackMs)
      ? { decode }
      : undefined;
  }

  /** Whether a decode replica probably has the prompt cached. */
  isCached({ key }: PlanRequest, now: Milliseconds): boolean {
    return this.#promptLocations.decodeOf(key, now) !== undefined;
  }

  /**
   * The decode replica that has the prompt cached and has room for the request.
   */
  #cachedDecodeFor(
    request: PlanRequest,
    decodes: readonly ReplicaEntry[],
    cachedAt: string | undefined,
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    const cached = decodes.find(({ incarnation }) => incarnation === cachedAt);
    if (!cached || this.#view.isPaused(cached.incarnation)) return undefined;
    return this.decodeFor(request, [cached], now);
  }

  /**
   * Whether the replica has more pending prefills than needed to keep it busy.
   */
  #hasBacklog({ incarnation }: ReplicaEntry): boolean {
    const base = Math.max(0, this.#ledger.prefillLineOf(incarnation).base);
    return this.#ledger.backlogMs(incarnation) - base >
      PREFILL_BACKLOG_MS;
  }

  /**
   * The decode replica with room for the request whose memory is used least for
   * its speed, preferably in the requester's hall. In proportion to its speed,
   * because a replica that got all requests would slow them all down, and its
   * loss would break them all.
   */
  decodeFor(
    request: PlanRequest,
    decodes: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    const need = this.#needOf(request);
    const rates = this.#rates();
    const runMs = ({ incarnation }: ReplicaEntry) =>
      rates.runMs(incarnation, request.outputTokens);
    const usualMs = meanOf(decodes.map(runMs));
    return minBy(decodes, (replica) => {
      const { incarnation, hall } = replica;
      if (!this.#hasRoom(replica, need, now)) return Infinity;
      const reserved = this.#ledger.reservedTokensAt(incarnation);
      const penalty = hall === request.hall ? 0 : this.#view.remoteHallPenalty;
      const load = reserved / need.memory *
        significantRatio(runMs(replica), usualMs);
      return Math.max(LOW_UTILIZATION, load) + penalty +
        load * TIE_BREAK_WEIGHT;
    });
  }

  /** Whether any of the replicas has room for a request. */
  hasRoom(
    request: PlanRequest,
    decodes: readonly ReplicaEntry[],
    now: Milliseconds,
  ): boolean {
    const need = this.#needOf(request);
    return decodes.some((replica) => this.#hasRoom(replica, need, now));
  }

  #needOf({ service, tokens }: PlanRequest): MemoryNeed {
    return { tokens, memory: Math.max(1, this.#view.memoryOf(service)) };
  }

  /** An idle replica accepts any request, even one larger than its memory. */
  #hasRoom(
    { incarnation }: ReplicaEntry,
    { tokens, memory }: MemoryNeed,
    now: Milliseconds,
  ): boolean {
    const reserved = this.#ledger.reservedTokensAt(incarnation);
    const hasMemory = reserved === 0 || reserved + tokens <= memory;
    return hasMemory && !this.#isFull(incarnation, now);
  }

  /**
   * Whether the decode replica does the prefill locally: only when the prefill
   * replicas have a backlog and it has few other requests, because a prefill
   * slows those down.
   */
  prefillsLocally(
    request: PlanRequest,
    decode: ReplicaEntry,
    slackMs: Milliseconds,
  ): boolean {
    const memory = Math.max(1, this.#view.memoryOf(request.service));
    const utilization = this.#ledger.reservedTokensAt(decode.incarnation) /
      memory;
    return utilization < LOCAL_PREFILL_MAX_UTILIZATION &&
      slackMs < LOCAL_PREFILL_SLACK_MS;
  }

  /**
   * The prefill replica that is expected to finish the prompt first, preferably
   * in the decode replica's hall.
   */
  prefillFor(
    prefills: readonly ReplicaEntry[],
    decode: ReplicaEntry,
    promptTokens: number,
  ): ReplicaEntry {
    const isRated = this.#rates() !== EQUAL_RATES;
    const free = isRated
      ? prefills.filter((replica) => !this.#hasBacklog(replica))
      : [];
    const cost = (replica: ReplicaEntry) => {
      const { incarnation, hall } = replica;
      const penalty = hall === decode.hall ? 0 : REMOTE_PREFILL_PENALTY_MS;
      const { base, slope } = this.#ledger.prefillLineOf(incarnation);
      const ownMs = isRated ? base + slope * promptTokens : 0;
      return this.#ledger.backlogMs(incarnation) + ownMs + penalty;
    };
    return minBy(free.length > 0 ? free : prefills, cost) ?? decode;
  }
}
