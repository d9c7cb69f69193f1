/** Which replicas of a model engine read and answer a request. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import type { PlanAsk } from "./messages.ts";
import { least } from "./order.ts";
import type { PromptMemory } from "./prompt_memory.ts";
import type { PlannerView } from "./view.ts";

/**
 * Work that a prefill replica is given ahead, besides what its answers take
 * on their way (the base of its prefill times): enough to keep it busy over a
 * round trip, little enough that the order of the others stays open.
 */
const AHEAD_MS = 60;

/** Share of its memory up to which a decode replica reads prompts. */
const WHOLE_BELOW = 0.6;
/** A request with less time left than this need not wait for a prefill. */
const WHOLE_SLACK_MS = 700;

/**
 * Decode replicas below this share of their memory in use are taken to be as
 * good as each other, so the hall decides: an answer that stays in its hall isn't
 * lost when halls are cut off from each other, and its cache moves at twice the
 * rate.
 */
const ROOMY_SHARE = 0.5;
/** Breaks ties by load; small compared with the charge for another hall. */
const TIE_WEIGHT = 0.02;
/**
 * What a prefill in another hall than its decode counts as: a KV cache takes
 * twice as long to move there, and is lost when the halls are cut off.
 */
const FAR_PREFILL_MS = 60;

/** Where a request is answered, and where its prompt is read. */
export type EnginePlaces = {
  readonly decode: ReplicaEntry;
  /** Absent: the decode replica reads the prompt. */
  readonly prefill?: ReplicaEntry;
};

/** What may be chosen for one request. */
export type EngineCandidates = {
  readonly decodes: readonly ReplicaEntry[];
  /** Sound ones only, whose limits have room; may be empty. */
  readonly prefills: readonly ReplicaEntry[];
  /** Others read prompts again when their limits have room. */
  readonly mayReadLater: boolean;
  /** False: no decode replica has room, so none is looked for. */
  readonly mayFit: boolean;
  /** Time until the first event is due. */
  readonly slackMs: Milliseconds;
};

/** What a choice goes by. */
export type EngineChoiceSource = {
  readonly view: PlannerView;
  readonly ledger: Ledger;
  readonly prompts: PromptMemory;
  /** The replica had no memory a moment ago, or its limit has no room. */
  isFull(incarnation: string, now: Milliseconds): boolean;
};

/** Chooses by what the ledger says is given away. */
export class EngineChoice {
  readonly #view: PlannerView;
  readonly #ledger: Ledger;
  readonly #prompts: PromptMemory;
  readonly #isFull: EngineChoiceSource["isFull"];

  constructor({ view, ledger, prompts, isFull }: EngineChoiceSource) {
    this.#view = view;
    this.#ledger = ledger;
    this.#prompts = prompts;
    this.#isFull = isFull;
  }

  /** The replicas for a request; undefined: it has to wait. */
  placesFor(
    ask: PlanAsk,
    { decodes, prefills, mayReadLater, mayFit, slackMs }: EngineCandidates,
    now: Milliseconds,
  ): EnginePlaces | undefined {
    const keeper = this.#keeperOf(ask, decodes, now);
    if (keeper) return { decode: keeper };
    const decode = mayFit ? this.decodeFor(ask, decodes, now) : undefined;
    if (!decode) return undefined;
    if (ask.whole) return { decode };
    if (prefills.length === 0) {
      const isWhole = !mayReadLater || this.readsWhole(ask, decode, slackMs);
      return isWhole ? { decode } : undefined;
    }
    const readBy = this.#prompts.prefillOf(ask.key, now);
    const reader = prefills.find((r) => r.incarnation === readBy);
    if (reader) return { decode, prefill: reader };
    const prefill = this.prefillFor(prefills, decode);
    if (!this.#isBehind(prefill)) return { decode, prefill };
    return this.readsWhole(ask, decode, slackMs) ? { decode } : undefined;
  }

  /** The decode replica that keeps the request's prompt and has room for it. */
  #keeperOf(
    ask: PlanAsk,
    decodes: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    const kept = this.#prompts.decodeOf(ask.key, now);
    const keeper = decodes.find(({ incarnation }) => incarnation === kept);
    if (!keeper || this.#view.isPaused(keeper.incarnation)) return undefined;
    return this.decodeFor(ask, [keeper], now);
  }

  /** The prefill replica has more before it than keeps it busy. */
  #isBehind({ incarnation }: ReplicaEntry): boolean {
    const base = Math.max(0, this.#ledger.lineOf(incarnation).base);
    return this.#ledger.queueMs(incarnation) - base > AHEAD_MS;
  }

  /** Of `decodes` the one with most memory left, rather in the asker's hall. */
  decodeFor(
    ask: PlanAsk,
    decodes: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    const memory = Math.max(1, this.#view.memoryOf(ask.service));
    return least(decodes, (replica) => {
      const { incarnation, hall } = replica;
      const held = this.#ledger.memoryAt(incarnation);
      const full = this.#isFull(incarnation, now);
      if (full || (held > 0 && held + ask.tokens > memory)) return Infinity;
      const far = hall === ask.hall ? 0 : this.#view.farCharge;
      const taken = held / memory;
      return Math.max(ROOMY_SHARE, taken) + far + taken * TIE_WEIGHT;
    });
  }

  /**
   * Whether the decode replica reads the prompt itself: only when the prefill
   * replicas are behind and it runs few others, for it slows them.
   */
  readsWhole(
    ask: PlanAsk,
    decode: ReplicaEntry,
    slackMs: Milliseconds,
  ): boolean {
    const memory = Math.max(1, this.#view.memoryOf(ask.service));
    const held = this.#ledger.memoryAt(decode.incarnation) / memory;
    return held < WHOLE_BELOW && slackMs < WHOLE_SLACK_MS;
  }

  /** The prefill replica that is free first, rather in the decode's hall. */
  prefillFor(
    prefills: readonly ReplicaEntry[],
    decode: ReplicaEntry,
  ): ReplicaEntry {
    const cost = (replica: ReplicaEntry) => {
      const far = replica.hall === decode.hall ? 0 : FAR_PREFILL_MS;
      return this.#ledger.queueMs(replica.incarnation) + far;
    };
    return least(prefills, cost) ?? decode;
  }
}
