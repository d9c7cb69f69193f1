/** Which replicas of a model engine read and answer a request. */
import type { Milliseconds } from "../../core/ids.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import type { PlanAsk } from "./messages.ts";
import { least } from "./order.ts";
import type { PlannerView } from "./view.ts";

/** Share of its memory up to which a decode replica reads prompts. */
const WHOLE_BELOW = 0.6;
/** A request with less time left than this need not wait for a prefill. */
const WHOLE_SLACK_MS = 700;

/** What a prefill in another hall than its decode counts as. */
const FAR_PREFILL_MS = 15;

/** Chooses by what the ledger says is given away. */
export class EngineChoice {
  readonly #view: PlannerView;
  readonly #ledger: Ledger;
  /** Replicas that had no memory, and until when they get nothing. */
  readonly #fullUntil: ReadonlyMap<string, Milliseconds>;

  constructor(
    view: PlannerView,
    ledger: Ledger,
    fullUntil: ReadonlyMap<string, Milliseconds>,
  ) {
    this.#view = view;
    this.#ledger = ledger;
    this.#fullUntil = fullUntil;
  }

  /** The decode replica with most memory left, rather in the asker's hall. */
  decodeFor(
    ask: PlanAsk,
    decodes: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    const memory = Math.max(1, this.#view.memoryOf(ask.service));
    const sound = decodes.filter((r) => !this.#view.isPaused(r.incarnation));
    return least(sound.length > 0 ? sound : decodes, (replica) => {
      const { incarnation, hall } = replica;
      const held = this.#ledger.memoryAt(incarnation);
      const full = (this.#fullUntil.get(incarnation) ?? 0) > now;
      if (full || (held > 0 && held + ask.tokens > memory)) return Infinity;
      const far = hall === ask.hall ? 0 : this.#view.farCharge;
      return held / memory + far;
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
