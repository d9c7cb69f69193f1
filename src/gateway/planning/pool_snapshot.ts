/**
 * The replicas of one service as they are during one pass over the queue: what
 * doesn't depend on the request is worked out once a pass, not once a request.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Line } from "../../util/line_fit.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import { readingRate, usualLine } from "./prefill_times.ts";

/** What a snapshot is made from. */
export type PoolSource = {
  /** Replicas of the service that take new work. */
  readonly replicas: readonly ReplicaEntry[];
  /** Memory of one decode replica, in tokens; 0 for a plain service. */
  readonly memory: number;
  readonly ledger: Ledger;
  /** Whether the replica failed recently and gets no new work. */
  isPaused(incarnation: string): boolean;
  /** Requests a second that a replica takes; undefined: any number. */
  limitOf(incarnation: string): number | undefined;
  /** Whether the replica's limit has room for a request now. */
  hasRoom(incarnation: string): boolean;
  /** A prefill replica whose finished prefills get lost. */
  isAvoided(incarnation: string): boolean;
};

/** Replicas by stage, and the queue before the next request. */
export class PoolSnapshot {
  readonly replicas: readonly ReplicaEntry[];
  readonly memory: number;
  readonly decodes: readonly ReplicaEntry[];
  /** Decode replicas that don't fail; all of them where all do. */
  readonly soundDecodes: readonly ReplicaEntry[];
  readonly prefills: readonly ReplicaEntry[];
  /** Prefill replicas that neither fail nor lose what they read. */
  readonly soundPrefills: readonly ReplicaEntry[];
  /** Times of a prefill at the fastest prefill replica. */
  readonly line: Line;
  /** Requests that are served before the next one and still wait. */
  readonly ahead = { requests: 0, tokens: 0, promptTokens: 0 };
  /** The most urgent priority that waits. */
  waitingPriority = Infinity;
  readonly #ledger: Ledger;
  readonly #hasRoom: PoolSource["hasRoom"];
  #readers: readonly ReplicaEntry[] | undefined;
  /** Prompt tokens that the prefill replicas read in a millisecond. */
  readonly readingRate: number;
  /**
   * Requests a second that the decode replicas take, if all of them limit their
   * requests; else Infinity.
   */
  readonly startRate: number;
  /**
   * Decode replicas that requests are forecast to wait for: those without a
   * limit, for the memory of others is given at their rate; all where all have one.
   */
  readonly #awaited: readonly ReplicaEntry[];
  #largestFree: number | undefined;
  #held: number | undefined;
  #promptsGiven: number | undefined;

  constructor(source: PoolSource) {
    const { replicas, memory, ledger } = source;
    this.replicas = replicas;
    this.memory = memory;
    this.#ledger = ledger;
    this.#hasRoom = (incarnation) => source.hasRoom(incarnation);
    this.decodes = replicas.filter((r) => r.stage === ReplicaStage.decode);
    this.prefills = replicas.filter((r) => r.stage === ReplicaStage.prefill);
    const sound = this.decodes.filter((r) => !source.isPaused(r.incarnation));
    this.soundDecodes = sound.length > 0 ? sound : this.decodes;
    this.soundPrefills = this.prefills.filter(({ incarnation }) =>
      !source.isPaused(incarnation) && !source.isAvoided(incarnation)
    );
    const limits = this.decodes.map((r) => source.limitOf(r.incarnation));
    this.startRate = limits.length === 0
      ? Infinity
      : limits.reduce<number>((sum, one) => sum + (one ?? Infinity), 0);
    const free = this.decodes.filter((_, at) => limits[at] === undefined);
    this.#awaited = free.length > 0 ? free : this.decodes;
    this.line = usualLine(ledger, this.prefills);
    this.readingRate = readingRate(ledger, this.prefills);
  }

  /** Time from a grant to the end of a prefill, if the replica is idle. */
  prefillMs(promptTokens: number): Milliseconds {
    return this.line.base + this.line.slope * promptTokens;
  }

  /** Sound prefill replicas whose limits have room. */
  get readers(): readonly ReplicaEntry[] {
    this.#readers ??= this.soundPrefills
      .filter((one) => this.#hasRoom(one.incarnation));
    return this.#readers;
  }

  /** Memory of the decode replicas that are waited for, in tokens. */
  get awaitedMemory(): number {
    return this.memory * this.#awaited.length;
  }

  /** Memory given away at them, in tokens. */
  get held(): number {
    this.#held ??= this.#awaited.reduce(
      (sum, one) => sum + this.#ledger.memoryAt(one.incarnation),
      0,
    );
    return this.#held;
  }

  /** Prompt tokens that the prefill replicas read before the next one's. */
  get promptsBefore(): number {
    this.#promptsGiven ??= this.prefills.reduce(
      (sum, one) => sum + this.#ledger.promptsAt(one.incarnation),
      0,
    );
    return this.#promptsGiven + this.ahead.promptTokens;
  }

  /** Whether the ledger shows room for the request at any healthy decode replica. */
  mayFit(tokens: number): boolean {
    this.#largestFree ??= Math.max(
      0,
      ...this.soundDecodes.map((one) => this.#freeAt(one)),
    );
    return tokens <= this.#largestFree;
  }

  /** An idle replica takes any request, also one larger than its memory. */
  #freeAt({ incarnation }: ReplicaEntry): number {
    const held = this.#ledger.memoryAt(incarnation);
    return held > 0 ? this.memory - held : Infinity;
  }

  /** A place was granted: sums that were cached are invalid. */
  noteGrant(): void {
    this.#readers = undefined;
    this.#largestFree = undefined;
    this.#held = undefined;
    this.#promptsGiven = undefined;
  }

  /** The request stays in the queue, ahead of those that follow. */
  noteWaiting(waits: {
    readonly tokens: number;
    readonly promptTokens: number;
    readonly priority: number;
  }): void {
    this.ahead.requests += 1;
    this.ahead.tokens += waits.tokens;
    this.ahead.promptTokens += waits.promptTokens;
    this.waitingPriority = Math.min(this.waitingPriority, waits.priority);
  }
}
