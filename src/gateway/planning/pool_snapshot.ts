/**
 * State of a service's replicas during one pass over the queue: whatever
 * doesn't depend on the request is computed once per pass.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Line } from "../../util/line_fit.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import { fastestLine, totalPrefillRate } from "./prefill_times.ts";
import type { QueuedRequest } from "./request_queue.ts";

/** Options of {@link PoolSnapshot}. */
export type PoolSnapshotOptions = {
  /** Replicas of the service that accept new work. */
  readonly replicas: readonly ReplicaEntry[];
  /** Memory of one decode replica, in tokens; 0 for a plain service. */
  readonly memory: number;
  readonly ledger: Ledger;
  /** Whether the replica failed recently and gets no new work. */
  isPaused(incarnation: string): boolean;
  /** Requests per second that a replica accepts; undefined: no limit. */
  limitOf(incarnation: string): number | undefined;
  /** Whether the replica's limit has room for a request now. */
  hasRoom(incarnation: string): boolean;
  /** Whether the exports of a prefill replica get lost. */
  isAvoided(incarnation: string): boolean;
};

/** Replicas by stage, and the queue ahead of the next request. */
export class PoolSnapshot {
  readonly replicas: readonly ReplicaEntry[];
  readonly memory: number;
  readonly decodes: readonly ReplicaEntry[];
  /** Decode replicas that don't fail; all of them if all fail. */
  readonly healthyDecodes: readonly ReplicaEntry[];
  readonly prefills: readonly ReplicaEntry[];
  /** Prefill replicas that neither fail nor lose their exports. */
  readonly healthyPrefills: readonly ReplicaEntry[];
  /** Prefill time at the fastest prefill replica, over prompt tokens. */
  readonly prefillLine: Line;
  /** Requests that are scheduled before the next one and still wait. */
  readonly ahead = { requests: 0, tokens: 0, promptTokens: 0 };
  /** The requests ahead, in scheduling order. */
  readonly waiting: QueuedRequest[] = [];
  /** Number of grants during the pass. */
  grants = 0;
  /** The most urgent priority among the waiting requests. */
  mostUrgentWaiting = Infinity;
  readonly #ledger: Ledger;
  readonly #hasRoom: PoolSnapshotOptions["hasRoom"];
  #availablePrefills: readonly ReplicaEntry[] | undefined;
  /** Prompt tokens that the prefill replicas process per millisecond. */
  readonly prefillRate: number;
  /**
   * Requests per second that the decode replicas accept, if all of them have a
   * limit; else Infinity.
   */
  readonly startRate: number;
  /**
   * Decode replicas for which waits are forecast: those without a limit,
   * because the others are assigned at their rate; all replicas if all have a
   * limit.
   */
  readonly #forecastDecodes: readonly ReplicaEntry[];
  /** Largest free memory of a replica, by arrays of replicas. */
  readonly #largestFree = new Map<readonly ReplicaEntry[], number>();
  #forecastReserved: number | undefined;
  #assignedPromptTokens: number | undefined;

  constructor(options: PoolSnapshotOptions) {
    const { replicas, memory, ledger } = options;
    this.replicas = replicas;
    this.memory = memory;
    this.#ledger = ledger;
    this.#hasRoom = (incarnation) => options.hasRoom(incarnation);
    this.decodes = replicas.filter((replica) =>
      replica.stage === ReplicaStage.decode
    );
    this.prefills = replicas.filter((replica) =>
      replica.stage === ReplicaStage.prefill
    );
    const healthy = this.decodes.filter((replica) =>
      !options.isPaused(replica.incarnation)
    );
    this.healthyDecodes = healthy.length > 0 ? healthy : this.decodes;
    this.healthyPrefills = this.prefills.filter(({ incarnation }) =>
      !options.isPaused(incarnation) && !options.isAvoided(incarnation)
    );
    const limits = this.decodes.map((replica) =>
      options.limitOf(replica.incarnation)
    );
    this.startRate = limits.length === 0
      ? Infinity
      : limits.reduce<number>((sum, limit) => sum + (limit ?? Infinity), 0);
    const unlimited = this.decodes.filter((_, index) =>
      limits[index] === undefined
    );
    this.#forecastDecodes = unlimited.length > 0 ? unlimited : this.decodes;
    this.prefillLine = fastestLine(ledger, this.prefills);
    this.prefillRate = totalPrefillRate(ledger, this.prefills);
  }

  /** Time from a grant to the end of a prefill, if the replica is idle. */
  prefillMs(promptTokens: number): Milliseconds {
    return this.prefillLine.base + this.prefillLine.slope * promptTokens;
  }

  /** Healthy prefill replicas whose limits have room. */
  get availablePrefills(): readonly ReplicaEntry[] {
    this.#availablePrefills ??= this.healthyPrefills
      .filter((replica) => this.#hasRoom(replica.incarnation));
    return this.#availablePrefills;
  }

  /** Memory of all decode replicas, in tokens. */
  get decodeMemory(): number {
    return this.memory * this.decodes.length;
  }

  /** Memory of the decode replicas for which waits are forecast, in tokens. */
  get forecastMemory(): number {
    return this.memory * this.#forecastDecodes.length;
  }

  /** Tokens reserved at the decode replicas for which waits are forecast. */
  get forecastReserved(): number {
    this.#forecastReserved ??= this.#forecastDecodes.reduce(
      (sum, replica) =>
        sum + this.#ledger.reservedTokensAt(replica.incarnation),
      0,
    );
    return this.#forecastReserved;
  }

  /**
   * Prompt tokens that the prefill replicas process before the next request's.
   */
  get pendingPromptTokens(): number {
    this.#assignedPromptTokens ??= this.prefills.reduce(
      (sum, replica) => sum + this.#ledger.backlogAt(replica.incarnation),
      0,
    );
    return this.#assignedPromptTokens + this.ahead.promptTokens;
  }

  /**
   * Whether any of the decode replicas has room for a request, according to the
   * ledger. Cheap if asked about the same array again.
   */
  mayFit(tokens: number, decodes: readonly ReplicaEntry[]): boolean {
    const known = this.#largestFree.get(decodes);
    const largest = known ??
      Math.max(0, ...decodes.map((replica) => this.#freeAt(replica)));
    if (known === undefined) this.#largestFree.set(decodes, largest);
    return tokens <= largest;
  }

  /** An idle replica accepts any request, even one larger than its memory. */
  #freeAt({ incarnation }: ReplicaEntry): number {
    const reserved = this.#ledger.reservedTokensAt(incarnation);
    return reserved > 0 ? this.memory - reserved : Infinity;
  }

  /** Invalidates the cached sums after a grant. */
  noteGrant(): void {
    this.grants += 1;
    this.#availablePrefills = undefined;
    this.#largestFree.clear();
    this.#forecastReserved = undefined;
    this.#assignedPromptTokens = undefined;
  }

  /** Counts a request that stays in the queue, ahead of those that follow. */
  noteWaiting(queued: QueuedRequest): void {
    const { request: { tokens, promptTokens }, priority } = queued;
    this.waiting.push(queued);
    this.ahead.requests += 1;
    this.ahead.tokens += tokens;
    this.ahead.promptTokens += promptTokens;
    this.mostUrgentWaiting = Math.min(this.mostUrgentWaiting, priority);
  }
}
