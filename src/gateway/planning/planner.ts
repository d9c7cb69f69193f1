/**
 * Places the requests of one pool: a queue in order of due time, a ledger of
 * what was given away. The ledger only guides: the replica's own reservation
 * decides, so a planner may start empty and two may plan at once without harm.
 */
import type { Milliseconds } from "../../core/ids.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import { Admission } from "./admission.ts";
import { AskQueue, type Waiting } from "./ask_queue.ts";
import { EngineChoice, type EnginePlaces } from "./engine_choice.ts";
import { ExportLosses } from "./export_losses.ts";
import { Ledger } from "./ledger.ts";
import { choosePlain } from "./plain_choice.ts";
import { PoolSnapshot } from "./pool_snapshot.ts";
import { PromptMemory } from "./prompt_memory.ts";
import { stageLoad } from "./stage_load.ts";
import { Urgency } from "./urgency.ts";
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
 * Time from the end of a prefill to the caller's first event, with a margin:
 * under load every request is served near the last moment that it can be.
 */
const FIRST_EVENT_MS = 150;
/**
 * A wait is forecast anew after this time, for replicas come and go: often
 * enough that what can't be served is known within an eighth of the time that
 * callers wait for a first event (2 s at least).
 */
const FORECAST_MS = 250;
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

/** The planner of the services that this host plans. */
export class Planner {
  readonly #view: PlannerView;
  readonly #ledger = new Ledger();
  readonly #queue = new AskQueue();
  readonly #losses = new ExportLosses();
  readonly #prompts = new PromptMemory();
  readonly #urgency = new Urgency();
  readonly #admissions = new Map<string, Admission>();
  readonly #choice: EngineChoice;
  readonly #fullUntil = new Map<string, Milliseconds>();

  constructor(view: PlannerView) {
    this.#view = view;
    this.#choice = new EngineChoice({
      view,
      ledger: this.#ledger,
      prompts: this.#prompts,
      fullUntil: this.#fullUntil,
    });
  }

  /** Who waits for the service and who is refused; each has lives of its own. */
  #admissionOf(service: string): Admission {
    const known = this.#admissions.get(service);
    if (known) return known;
    const admission = new Admission(this.#view.random);
    this.#admissions.set(service, admission);
    return admission;
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
    this.#urgency.note(ask.service, ask.priority, now);
    const admission = this.#admissionOf(ask.service);
    admission.noteArrival(ask, now);
    const returned = admission.cameBack(ask.key, now);
    this.#queue.add({ from, ask, returned }, now);
  }

  /** Enters a place that was given elsewhere. */
  keep(from: string, keep: PlanKeep, now: Milliseconds): void {
    this.#ledger.add({
      id: keep.id,
      service: undefined,
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
      if (entry.service !== undefined) {
        this.#admissionOf(entry.service).noteEnd(now - entry.grantedAt);
      }
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
    const pools = new Map<string, PoolSnapshot>();
    const poolOf = (service: string) => {
      const known = pools.get(service);
      const pool = known ?? this.#snapshot(service, now);
      if (!known) pools.set(service, pool);
      return pool;
    };
    const serviceMs = ({ service, promptTokens }: PlanAsk) =>
      poolOf(service).prefillMs(promptTokens) + FIRST_EVENT_MS;
    for (const one of this.#queue.inOrder(now, serviceMs)) {
      const pool = poolOf(one.ask.service);
      const message = this.#answer(one, pool, now) ??
        this.#foresee(one, pool, now);
      if (!message) {
        pool.noteWaiting(one.ask);
        continue;
      }
      if (message.type === "grant") pool.noteGrant();
      this.#queue.remove(one.ask.id);
      answers.push({ to: one.from, message });
    }
    return answers;
  }

  #snapshot(service: string, now: Milliseconds): PoolSnapshot {
    return new PoolSnapshot({
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
      ledger: this.#ledger,
      isPaused: (incarnation) => this.#view.isPaused(incarnation),
      isAvoided: (incarnation) => this.#losses.avoided(incarnation, now),
    });
  }

  #answer(
    one: Waiting,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): PlannerMessage | undefined {
    const { excluded } = one.ask;
    if (now >= one.giveUpAt) return this.#refusal(one, "no-memory");
    const allowed = <Some extends ReplicaEntry>(all: readonly Some[]) =>
      excluded.length === 0
        ? all
        : all.filter((each) => !excluded.includes(each.incarnation));
    if (pool.memory === 0) {
      return this.#plain(one, allowed(pool.replicas), now);
    }
    const decodes = allowed(pool.decodes);
    if (decodes.length === 0) return this.#refusal(one, "no-replica");
    // What gets free goes to the more urgent that wait for it, however small
    // the less urgent request is.
    if (!one.begun && one.priority > pool.waitingPriority) return undefined;
    const mayFit = excluded.length > 0 || pool.mayFit(one.ask.tokens);
    const soundDecodes = allowed(pool.soundDecodes);
    const places = this.#choice.placesFor(one.ask, {
      decodes: soundDecodes.length > 0 ? soundDecodes : decodes,
      prefills: allowed(pool.soundPrefills),
      mayFit,
      slackMs: one.dueAt - now,
    }, now);
    return places && this.#grant(one, places, now);
  }

  /** A plain service queues at its replicas; a full one is left out. */
  #plain(
    one: Waiting,
    open: readonly ReplicaEntry[],
    now: Milliseconds,
  ): PlannerMessage {
    const { service, hall } = one.ask;
    if (open.length === 0) return this.#refusal(one, "no-replica");
    const decode = choosePlain(open, {
      hall,
      farCharge: this.#view.farCharge,
      inFlight: (incarnation) => this.#ledger.memoryAt(incarnation),
      isPaused: (incarnation) => this.#view.isPaused(incarnation),
      isFull: (incarnation) => (this.#fullUntil.get(incarnation) ?? 0) > now,
      yieldsWhenFull: !one.begun &&
        this.#urgency.hasMoreUrgent(service, one.priority, now),
    });
    if (decode) {
      this.#view.noteTry(decode.incarnation, now);
      return this.#grant(one, { decode }, now);
    }
    const retryAfterMs = PLAIN_RETRY_MS * (1 + this.#view.random());
    return { ...this.#refusal(one, "busy"), retryAfterMs };
  }

  /** Refuses at once what can't begin before its caller gives up. */
  #foresee(
    one: Waiting,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): PlannerMessage | undefined {
    if (one.begun || one.returned || now < one.forecastAt) return undefined;
    one.forecastAt = now + FORECAST_MS;
    const { service, tokens, promptTokens, key, longestRetryMs } = one.ask;
    const admission = this.#admissionOf(service);
    const { waitMs, lateWaitMs } = admission.forecast({
      tokens: tokens + pool.ahead.tokens,
      held: pool.held,
      memory: pool.memory * pool.decodes.length,
      promptTokens: pool.promptsBefore,
      readingRate: pool.readingRate,
    }, now);
    const startMs = pool.prefillMs(promptTokens) + FIRST_EVENT_MS;
    const isOnTime = now + waitMs + startMs <= one.dueAt;
    const wait = isOnTime ? waitMs : lateWaitMs;
    if (now + wait <= one.giveUpAt) return undefined;
    const refused = { key, waitMs: wait, longestRetryMs };
    const retryAfterMs = admission.refuse(refused, now);
    return { ...this.#refusal(one, "busy"), retryAfterMs };
  }

  /** A refusal with what it was decided on. */
  #refusal(one: Waiting, reason: PlanRefusal["reason"]): PlanRefusal {
    const { id, service } = one.ask;
    const held = Math.round(this.loadOf(service).decode * 100) / 100;
    const decodes = this.#view.replicasOf(service)
      .filter(({ stage }) => stage === ReplicaStage.decode).length;
    const basis = { decodes, held, waiting: this.#queue.size };
    return { type: "refusal", id, reason, basis };
  }

  #grant(
    one: Waiting,
    places: EnginePlaces,
    now: Milliseconds,
  ): PlanGrant {
    const { id, service, tokens, promptTokens, key } = one.ask;
    const decode = places.decode.incarnation;
    const prefill = places.prefill?.incarnation;
    this.#ledger.add({
      id,
      service,
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
