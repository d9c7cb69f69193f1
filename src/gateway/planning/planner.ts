/**
 * Places the requests of one pool: a queue in order of due time, a ledger of
 * what was given away. The ledger only guides: the replica's own reservation
 * decides, so a planner may start empty and two may plan at once without harm.
 */
import type { Milliseconds } from "../../core/ids.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Line } from "../../core/util/line_fit.ts";
import { Admission } from "./admission.ts";
import { AskQueue, type Waiting } from "./ask_queue.ts";
import { EngineChoice } from "./engine_choice.ts";
import { ExportLosses } from "./export_losses.ts";
import { Ledger } from "./ledger.ts";
import { choosePlain } from "./plain_choice.ts";
import { readingMs, usualLine } from "./prefill_times.ts";
import { PromptMemory } from "./prompt_memory.ts";
import { stageLoad } from "./stage_load.ts";
import type { PlannerAnswer, PlannerView, StageLoad } from "./view.ts";
import {
  PlaceStage,
  type PlanAsk,
  type PlanGrant,
  type PlanKeep,
  type PlannerMessage,
  type PlanProgress,
  type PlanRefusal,
} from "./messages.ts";

/**
 * Work that a prefill replica is given ahead, besides what its answers take
 * on their way (the base of its prefill times): enough to keep it busy over a
 * round trip, little enough that the order of the others stays open.
 */
const AHEAD_MS = 60;
/**
 * Time from the end of a prefill to the caller's first event, with a margin:
 * under load every request is served near the last moment that it can be.
 */
const FIRST_EVENT_MS = 150;
/** A caller of a plain service that is full comes back after this, or twice. */
const PLAIN_RETRY_MS = 300;
/** A replica that had no memory is not given any for this time. */
const FULL_MS = 60;
/** A place is believed for so long without word of it. */
const PLACE_LIFE_MS = 20_000;
/**
 * Places of a host that is out of touch are believed for so long: about what
 * is left of an answer that was under way (median life 2.8 s).
 */
const ORPHAN_LIFE_MS = 2000;

/** What waits before an ask. */
type Queue = { tokens: number; promptTokens: number };

/** The planner of the services that this host plans. */
export class Planner {
  readonly #view: PlannerView;
  readonly #ledger = new Ledger();
  readonly #queue = new AskQueue();
  readonly #losses = new ExportLosses();
  readonly #prompts = new PromptMemory();
  readonly #admission: Admission;
  readonly #choice: EngineChoice;
  readonly #fullUntil = new Map<string, Milliseconds>();

  constructor(view: PlannerView) {
    this.#view = view;
    this.#choice = new EngineChoice(view, this.#ledger, this.#fullUntil);
    this.#admission = new Admission(view.random);
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** How busy the two stages of a service are, from 0 to 1. */
  loadOf(service: string): StageLoad {
    return stageLoad(this.#ledger, {
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
    });
  }

  /** Queues an ask; `pass` answers it. */
  ask(from: string, ask: PlanAsk, now: Milliseconds): void {
    this.#ledger.remove(ask.id);
    const decided = ask.begun || this.#admission.cameBack(ask.key, now);
    this.#queue.add({ from, ask, decided }, now);
  }

  /** Enters a place that was given elsewhere. */
  keep(from: string, keep: PlanKeep, now: Milliseconds): void {
    this.#ledger.add({
      id: keep.id,
      from,
      decode: keep.decode,
      tokens: keep.tokens,
      prefill: undefined,
      readBy: undefined,
      promptTokens: 0,
      key: "",
      tokensAhead: 0,
      grantedAt: now,
      until: now + PLACE_LIFE_MS,
    });
  }

  /** Takes word of a placed request. */
  progress(word: PlanProgress, now: Milliseconds): void {
    const { id, stage, spentMs } = word;
    switch (stage) {
      case PlaceStage.prefilled: {
        const entry = this.#ledger.prefilled(id, spentMs);
        if (entry?.readBy === undefined) return;
        const { key, decode, readBy } = entry;
        this.#prompts.note(key, { decode, prefill: readBy }, now);
        this.#view.noteSuccess(readBy);
        return;
      }
      case PlaceStage.prefillFailed: {
        const readBy = this.#ledger.prefilled(id, undefined)?.readBy;
        if (readBy !== undefined) this.#view.noteFailure(readBy, now);
        return;
      }
      default:
        this.#takeBack(id, stage, now);
    }
  }

  #takeBack(id: string, stage: PlaceStage, now: Milliseconds): void {
    this.#queue.remove(id);
    const entry = this.#ledger.remove(id);
    if (!entry) return;
    const { decode, readBy } = entry;
    if (readBy !== undefined && stage === PlaceStage.exportLost) {
      this.#losses.noteLost(readBy, now);
      this.#prompts.forget(entry.key);
    }
    if (stage === PlaceStage.answered) {
      this.#admission.noteEnd(now - entry.grantedAt);
      this.#view.noteSuccess(decode);
      if (readBy !== undefined) this.#losses.noteKept(readBy);
    }
    if (stage === PlaceStage.refused) {
      this.#fullUntil.set(decode, now + FULL_MS);
    }
    if (stage === PlaceStage.failed) this.#view.noteFailure(decode, now);
  }

  /** A host went out of touch. */
  lose(from: string, now: Milliseconds): void {
    this.#ledger.limitHost(from, now + ORPHAN_LIFE_MS);
    this.#queue.removeHost(from);
  }

  /** Goes through the queue; gives the answers that follow. */
  pass(now: Milliseconds): PlannerAnswer[] {
    this.#ledger.expire(now);
    const answers: PlannerAnswer[] = [];
    const queues = new Map<string, Queue>();
    for (const one of this.#inOrder(now)) {
      const { service } = one.ask;
      const ahead = queues.get(service) ?? { tokens: 0, promptTokens: 0 };
      queues.set(service, ahead);
      const message = this.#answer(one, now) ?? this.#decide(one, ahead, now);
      if (!message) {
        ahead.tokens += one.ask.tokens;
        ahead.promptTokens += one.ask.promptTokens;
        continue;
      }
      this.#queue.remove(one.ask.id);
      answers.push({ to: one.from, message });
    }
    return answers;
  }

  /** The queue as it is served. */
  #inOrder(now: Milliseconds): Waiting[] {
    const lines = new Map<string, Line>();
    return this.#queue.inOrder(now, ({ service, promptTokens }) => {
      const line = lines.get(service) ??
        usualLine(this.#ledger, this.#prefillsOf(service));
      lines.set(service, line);
      return line.base + line.slope * promptTokens + FIRST_EVENT_MS;
    });
  }

  #answer(one: Waiting, now: Milliseconds): PlannerMessage | undefined {
    const { service, excluded } = one.ask;
    if (now >= one.giveUpAt) return this.#refusal(one, "no-memory");
    if (this.#view.memoryOf(service) === 0) return this.#plain(one, now);
    const open = this.#view.replicasOf(service).filter((replica) =>
      !excluded.includes(replica.incarnation)
    );
    const decodes = open.filter((r) => r.stage === ReplicaStage.decode);
    if (decodes.length === 0) return this.#refusal(one, "no-replica");
    const keeper = this.#keeperOf(one.ask, decodes, now);
    if (keeper) return this.#grant(one, { decode: keeper }, now);
    const decode = this.#choice.decodeFor(one.ask, decodes, now);
    if (!decode) return undefined;
    const prefills = open.filter((r) => r.stage === ReplicaStage.prefill);
    const sound = prefills.filter((r) =>
      !this.#view.isPaused(r.incarnation) &&
      !this.#losses.avoided(r.incarnation, now)
    );
    if (one.ask.whole || sound.length === 0) {
      return this.#grant(one, { decode }, now);
    }
    const readBy = this.#prompts.prefillOf(one.ask.key, now);
    const reader = sound.find((r) => r.incarnation === readBy);
    if (reader) return this.#grant(one, { decode, prefill: reader }, now);
    const prefill = this.#choice.prefillFor(sound, decode);
    const { incarnation } = prefill;
    const base = Math.max(0, this.#ledger.lineOf(incarnation).base);
    const ahead = this.#ledger.queueMs(incarnation) - base;
    if (ahead > AHEAD_MS) {
      const whole = this.#choice.readsWhole(one.ask, decode, one.dueAt - now);
      return whole ? this.#grant(one, { decode }, now) : undefined;
    }
    return this.#grant(one, { decode, prefill }, now);
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
    return this.#choice.decodeFor(ask, [keeper], now);
  }

  /** A plain service queues at its replicas; a full one is left out. */
  #plain(one: Waiting, now: Milliseconds): PlannerMessage {
    const { service, hall, excluded } = one.ask;
    const open = this.#view.replicasOf(service)
      .filter(({ incarnation }) => !excluded.includes(incarnation));
    if (open.length === 0) return this.#refusal(one, "no-replica");
    const decode = choosePlain(open, {
      hall,
      farCharge: this.#view.farCharge,
      inFlight: (incarnation) => this.#ledger.memoryAt(incarnation),
      isPaused: (incarnation) => this.#view.isPaused(incarnation),
      isFull: (incarnation) => (this.#fullUntil.get(incarnation) ?? 0) > now,
    });
    if (decode) {
      this.#view.noteTry(decode.incarnation, now);
      return this.#grant(one, { decode }, now);
    }
    const retryAfterMs = PLAIN_RETRY_MS * (1 + this.#view.random());
    return { ...this.#refusal(one, "busy"), retryAfterMs };
  }

  /** Refuses at once what will not be on time, so that it can come back. */
  #decide(
    one: Waiting,
    ahead: Readonly<Queue>,
    now: Milliseconds,
  ): PlannerMessage | undefined {
    if (one.decided || now < one.decideAt) return undefined;
    one.decided = true;
    const { service, tokens, promptTokens, key } = one.ask;
    const prefills = this.#prefillsOf(service);
    const line = usualLine(this.#ledger, prefills);
    const waitMs = this.#admission.waitMs({
      tokens: tokens + ahead.tokens,
      held: this.#heldOf(service),
      memory: this.#view.memoryOf(service),
      prefillMs: readingMs(this.#ledger, prefills, ahead.promptTokens),
    });
    const startMs = line.base + line.slope * promptTokens + FIRST_EVENT_MS;
    if (now + waitMs + startMs <= one.dueAt) return undefined;
    const retryAfterMs = this.#admission.refuse(key, waitMs, now);
    return { ...this.#refusal(one, "busy"), retryAfterMs };
  }

  /** A refusal with what it was decided on. */
  #refusal(one: Waiting, reason: PlanRefusal["reason"]): PlanRefusal {
    const { id, service } = one.ask;
    const held = Math.round(this.loadOf(service).decode * 100) / 100;
    const decodes = this.#heldOf(service).length;
    const basis = { decodes, held, waiting: this.#queue.size };
    return { type: "refusal", id, reason, basis };
  }

  #prefillsOf(service: string): ReplicaEntry[] {
    return this.#view.replicasOf(service)
      .filter((one) => one.stage === ReplicaStage.prefill);
  }

  /** Memory given away at each decode replica of the service. */
  #heldOf(service: string): number[] {
    return this.#view.replicasOf(service)
      .filter((one) => one.stage === ReplicaStage.decode)
      .map((one) => this.#ledger.memoryAt(one.incarnation));
  }

  #grant(
    one: Waiting,
    places: {
      readonly decode: ReplicaEntry;
      readonly prefill?: ReplicaEntry;
    },
    now: Milliseconds,
  ): PlanGrant {
    const { id, tokens, promptTokens, key } = one.ask;
    const decode = places.decode.incarnation;
    const prefill = places.prefill?.incarnation;
    this.#ledger.add({
      id,
      from: one.from,
      decode,
      tokens,
      prefill,
      readBy: prefill,
      promptTokens,
      key,
      tokensAhead: prefill === undefined ? 0 : this.#ledger.promptsAt(prefill),
      grantedAt: now,
      until: now + PLACE_LIFE_MS,
    });
    if (prefill === undefined) this.#prompts.note(key, { decode }, now);
    const base = { type: "grant" as const, id, decode };
    return prefill === undefined ? base : { ...base, prefill };
  }
}
