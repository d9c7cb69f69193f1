/**
 * Places the requests of one pool: a queue in order of due time, a ledger of
 * what was given away. The ledger only guides: the replica's own reservation
 * decides, so a planner may start empty and two may plan at once without harm.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { AskQueue, type Waiting } from "./ask_queue.ts";
import { EngineChoice, type EnginePlaces } from "./engine_choice.ts";
import { ExportLosses } from "./export_losses.ts";
import { firstEventMs, Forecasts } from "./forecasts.ts";
import { Ledger } from "./ledger.ts";
import { LimitPace } from "./limit_pace.ts";
import { PlainPlaces } from "./plain_places.ts";
import { PoolSnapshot } from "./pool_snapshot.ts";
import { PromptMemory } from "./prompt_memory.ts";
import { refusalBasis } from "./refusal_basis.ts";
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

/** A replica that had no memory is not given any for this time. */
const FULL_MS = 60;
/** A place is believed for so long without a report on it. */
const PLACE_LIFE_MS = 20_000;
/**
 * Places of a host that is out of touch are believed for so long, since answers
 * that were under way hold their memory until they end.
 */
const ORPHAN_LIFE_MS = 2000;

/** The planner of the services that this host plans. */
export class Planner {
  readonly #view: PlannerView;
  readonly #ledger = new Ledger();
  readonly #queue = new AskQueue();
  readonly #losses = new ExportLosses();
  readonly #prompts = new PromptMemory();
  readonly #forecasts: Forecasts;
  readonly #choice: EngineChoice;
  readonly #plain: PlainPlaces;
  readonly #pace: LimitPace;
  readonly #fullUntil = new Map<string, Milliseconds>();

  constructor(view: PlannerView) {
    this.#view = view;
    const pace = new LimitPace((incarnation) => view.limitOf(incarnation));
    this.#pace = pace;
    this.#forecasts = new Forecasts(view.random);
    const isFull = (incarnation: string, now: Milliseconds) =>
      (this.#fullUntil.get(incarnation) ?? 0) > now ||
      !pace.hasRoom(incarnation, now);
    const ledger = this.#ledger;
    this.#choice = new EngineChoice({
      view,
      ledger,
      prompts: this.#prompts,
      isFull,
    });
    this.#plain = new PlainPlaces({ view, ledger, pace, isFull });
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** How busy the two stages of a service are, from 0 to 1. */
  loadOf(service: string, now: Milliseconds): StageLoad {
    return stageLoad(this.#ledger, {
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
      hasRoom: (incarnation) => this.#pace.hasRoom(incarnation, now),
    });
  }

  /** Queues a placement request; `pass` answers it. */
  enqueue(from: string, ask: PlanAsk, now: Milliseconds): void {
    this.#ledger.remove(ask.id);
    if (this.#view.memoryOf(ask.service) === 0) this.#plain.noteAsk(ask, now);
    const returned = this.#forecasts.noteAsk(ask, now);
    this.#queue.add({ from, ask, returned }, now);
  }

  /** Enters a place that was given elsewhere. */
  restore(from: string, keep: PlanKeep, now: Milliseconds): void {
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

  /** Takes a host's report on a placed request. */
  report(report: PlanProgress, now: Milliseconds): void {
    const { id, stage, spentMs } = report;
    switch (stage) {
      case PlaceStage.prefilled: {
        const entry = this.#ledger.prefilled(id, spentMs);
        if (entry?.readBy === undefined) return;
        const { key, decode, readBy } = entry;
        this.#prompts.note(key, { decode, prefill: readBy }, now);
        this.#view.noteSuccess(readBy);
        return;
      }
      case PlaceStage.prefillLimited: {
        const readBy = this.#ledger.prefilled(id, undefined)?.readBy;
        if (readBy !== undefined) this.#pace.noteRefusal(readBy, report, now);
        return;
      }
      case PlaceStage.prefillFailed: {
        const readBy = this.#ledger.prefilled(id, undefined)?.readBy;
        if (readBy !== undefined) this.#view.noteFailure(readBy, now);
        return;
      }
      default:
        this.#takeBack(report, now);
    }
  }

  #takeBack(report: PlanProgress, now: Milliseconds): void {
    const { id, stage, retryAfterMs } = report;
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
        this.#forecasts.noteEnd(entry.service, now - entry.grantedAt);
      }
      this.#view.noteSuccess(decode);
      if (readBy !== undefined) this.#losses.noteKept(readBy);
    }
    if (stage === PlaceStage.refused) {
      const isFull = retryAfterMs === undefined;
      if (isFull) this.#fullUntil.set(decode, now + FULL_MS);
      else this.#pace.noteRefusal(decode, report, now);
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
    const serviceMs = (ask: PlanAsk) => firstEventMs(poolOf(ask.service), ask);
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
      limitOf: (incarnation) => this.#view.limitOf(incarnation),
      hasRoom: (incarnation) => this.#pace.hasRoom(incarnation, now),
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
      return this.#placePlain(one, allowed(pool.replicas), now);
    }
    const decodes = allowed(pool.decodes);
    if (decodes.length === 0) return this.#refusal(one, "no-replica");
    // What gets free goes to the more urgent that wait for it, however small
    // the less urgent request is.
    if (!one.begun && one.priority > pool.waitingPriority) return undefined;
    const mayFit = excluded.length > 0 || pool.mayFit(one.ask.tokens);
    const soundDecodes = allowed(pool.soundDecodes);
    const candidates = soundDecodes.length > 0 ? soundDecodes : decodes;
    const limitedMs = this.#pace.soonestMs(candidates, now);
    if (now + limitedMs > one.giveUpAt) {
      const refusal = this.#refusal(one, "busy", true);
      return { ...refusal, retryAfterMs: limitedMs };
    }
    const places = this.#choice.placesFor(one.ask, {
      decodes: candidates,
      prefills: allowed(pool.readers),
      mayReadLater: allowed(pool.readers).length <
        allowed(pool.soundPrefills).length,
      mayFit,
      slackMs: one.dueAt - now,
    }, now);
    if (!places) return undefined;
    this.#pace.noteGrant(places.decode.incarnation, now);
    if (places.prefill) this.#pace.noteGrant(places.prefill.incarnation, now);
    return this.#grant(one, places, now);
  }

  /** A plain service queues at its replicas. */
  #placePlain(
    one: Waiting,
    open: readonly ReplicaEntry[],
    now: Milliseconds,
  ): PlannerMessage {
    if (open.length === 0) return this.#refusal(one, "no-replica");
    const place = this.#plain.find(one, open, now);
    if (place.type === "replica") {
      return this.#grant(one, { decode: place.replica }, now);
    }
    const { retryAfterMs, isLimited } = place;
    return { ...this.#refusal(one, "busy", isLimited), retryAfterMs };
  }

  /** Refuses at once what can't begin before its caller gives up. */
  #foresee(
    one: Waiting,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): PlannerMessage | undefined {
    const retryAfterMs = this.#forecasts.comeBackMs(one, pool, now);
    if (retryAfterMs === undefined) return undefined;
    const isLimited = Number.isFinite(pool.startRate);
    return { ...this.#refusal(one, "busy", isLimited), retryAfterMs };
  }

  /** A refusal with what it was decided on. */
  #refusal(
    one: Waiting,
    reason: PlanRefusal["reason"],
    isLimited = false,
  ): PlanRefusal {
    const { id, service } = one.ask;
    const basis = refusalBasis(this.#ledger, {
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
      waiting: this.#queue.size,
      isLimited,
    });
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
