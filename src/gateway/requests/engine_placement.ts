/**
 * Places for requests of model engines: memory at a decode replica first,
 * then the prefill, so that no prompt is read without room for its answer.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type { NoPlace, Place, Places } from "../planning/places.ts";
import { CallMode } from "../port.ts";
import type { Replica } from "../replicas/replica.ts";
import type { Engine } from "../routing/model.ts";
import type { Attempts } from "./attempts.ts";
import { placeGiveUpAt, placementRequestOf } from "./engine_request.ts";
import { availableFor } from "./availability.ts";
import { backoffRefusal, noteLimit, plannerRefusal } from "./refusals.ts";
import { reservedTokens } from "./memory.ts";
import type {
  PlaceFailure,
  Placement,
  PlaceNeed,
  Placer,
  PlaceRefusal,
} from "./placement.ts";
import { type Export, Prefills } from "./prefill.ts";
import { nextPlaceId } from "./place_ids.ts";
import type { GatewayRequest } from "./request.ts";
import {
  dropReservation,
  type Reservation,
  takeReservation,
} from "./reservations.ts";

/** A reservation that ends sooner than this is not used. */
const EXPIRY_MARGIN_MS = 100;
/** Pause before the planner is asked again when it named an unknown replica. */
const LISTING_PAUSE_MS = 100;

/** What a placement is made from. */
export type EngineSource = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly places: Places;
  readonly engine: Engine;
  /** Its sends; prefills count among them. */
  readonly attempts: Attempts;
};

/** A place by the replicas that this host knows. */
type PlannedPlace = { readonly replica: Replica; readonly prefill?: Replica };

/** Places one request. */
export class EnginePlacement implements Placer {
  readonly #source: EngineSource;
  readonly #prefills: Prefills;
  #cancelWait: () => void = () => undefined;
  /** Names the place at its planner; another for each try. */
  #placeId: string | undefined;
  /** An export was lost: the decode replica reads the prompt itself. */
  #whole = false;
  #ended = false;
  #reservation: Reservation | undefined;
  #export: Export | undefined;
  #permit: SendPermit | undefined;

  constructor(source: EngineSource) {
    this.#source = source;
    const { context, request, attempts } = source;
    this.#prefills = new Prefills(context, request, attempts);
  }

  async place(need: PlaceNeed): Promise<Placement | PlaceRefusal> {
    const { clock, metrics } = this.#source.context;
    const startedAt = clock.now();
    for (;;) {
      const found = await this.#find(need);
      if ("error" in found) return found;
      if (this.#ended) return this.#leaveUnused();
      const permit = await this.#permitFor(found.replica);
      if (this.#ended) return this.#leaveUnused();
      if (!permit) continue;
      const reservation = await this.#reserve(found.replica);
      if (this.#ended) return this.#leaveUnused();
      if (!reservation) continue;
      const waitMs = clock.now() - startedAt;
      metrics.time(Timing.memoryWait, waitMs);
      const prefillMs = await this.#prefill(reservation, found.prefill);
      const late = clock.now() > reservation.expiresAt - EXPIRY_MARGIN_MS;
      if (!late) {
        return this.#placement(reservation, permit, { waitMs, prefillMs });
      }
      this.release();
    }
  }

  /** The request ended meanwhile: what it was given goes back. */
  #leaveUnused(): PlaceRefusal {
    this.release();
    return { error: GatewayError.noMemory };
  }

  /** A place from the planner, or why there is none in time. */
  async #find(need: PlaceNeed): Promise<PlannedPlace | PlaceRefusal> {
    const { context } = this.#source;
    const closed = new Set(need.excluded);
    for (;;) {
      const available = availableFor(context, this.#source.request, closed);
      if (available.type === "none") {
        const { retryAfterMs } = available;
        const isLate = context.clock.now() + retryAfterMs >=
          placeGiveUpAt(this.#source, need);
        // A caller that has a part of its answer is better served by waiting.
        if (!need.begun || isLate) {
          return backoffRefusal(context, this.#source.request, retryAfterMs);
        }
        await sleep(context.clock, retryAfterMs);
        if (this.#ended) return { error: GatewayError.noMemory };
        continue;
      }
      const { excluded, nextMs } = available;
      const place = await this.#ask({ ...need, excluded }, nextMs);
      if (place === "reopened") continue;
      if ("reason" in place) return plannerRefusal(place);
      const replica = context.replicas.get(place.decode);
      const prefill = place.prefill === undefined
        ? undefined
        : context.replicas.get(place.prefill);
      if (replica && !context.gate.obstacle(replica)) {
        return prefill ? { replica, prefill } : { replica };
      }
      this.#endPlace();
      // The planner hasn't heard yet that the replica takes no more, or this
      // host hasn't heard of the replica.
      if (replica) closed.add(place.decode);
      else await sleep(context.clock, LISTING_PAUSE_MS);
    }
  }

  /** Asks anew when a replica may be used that wasn't when it asked. */
  async #ask(
    need: PlaceNeed,
    nextMs: Milliseconds,
  ): Promise<Place | NoPlace | "reopened"> {
    const { context, places } = this.#source;
    const id = nextPlaceId(context);
    const tried = { id, whole: this.#whole };
    const wait = places.find(placementRequestOf(this.#source, need, tried));
    this.#cancelWait = wait.cancel;
    let isReopened = false;
    const reopen = () => {
      isReopened = true;
      wait.cancel();
    };
    const cancelTimer = Number.isFinite(nextMs)
      ? context.clock.after(nextMs, reopen)
      : () => undefined;
    const place = await wait.result;
    cancelTimer();
    if (!("reason" in place)) this.#placeId = id;
    else if (isReopened && place.reason === "cancelled") return "reopened";
    return place;
  }

  /** A permit; without one the planner finds another place, in its time. */
  async #permitFor(replica: Replica): Promise<SendPermit | undefined> {
    const { context, request } = this.#source;
    const outcome = await context.gate.permit(replica);
    if (outcome.type === "granted") return this.#permit = outcome.permit;
    if (outcome.type === "closed") {
      this.#endPlace();
      return undefined;
    }
    const { retryAfterMs } = outcome;
    noteLimit(context, request, { replica, retryAfterMs });
    this.#refusedPlace(retryAfterMs);
    return undefined;
  }

  async #reserve(replica: Replica): Promise<Reservation | undefined> {
    const { context, request, engine } = this.#source;
    const reservation = await takeReservation(context, replica, {
      tokens: reservedTokens(
        request.facts,
        engine,
        context.tuning.outputMargin,
      ),
      mostMs: engine.reservationMs,
    });
    if (typeof reservation === "string") {
      this.#dropPermit();
      if (reservation === "silent") {
        this.failed({ turnedAway: false, isBackoff: false });
      } else this.#refusedPlace();
      return undefined;
    }
    this.#reservation = reservation;
    return reservation;
  }

  async #prefill(
    reservation: Reservation,
    prefill: Replica | undefined,
  ): Promise<Milliseconds> {
    if (!prefill) return 0;
    const { context, places } = this.#source;
    const startedAt = context.clock.now();
    const { hall } = reservation.replica.entry;
    this.#export = await this.#prefills.run(prefill, hall);
    const spentMs: Milliseconds = context.clock.now() - startedAt;
    if (this.#placeId === undefined) return spentMs;
    const asPlanned = this.#export?.replica === prefill;
    const limitedMs = this.#prefills.limitedMs;
    if (asPlanned) places.prefilled(this.#placeId, spentMs);
    else if (limitedMs === undefined) places.prefillFailed(this.#placeId);
    else places.prefillLimited(this.#placeId, limitedMs);
    return spentMs;
  }

  #endPlace(): void {
    const id = this.#placeId;
    this.#placeId = undefined;
    if (id !== undefined) this.#source.places.ended(id);
  }

  #refusedPlace(retryAfterMs?: Milliseconds): void {
    const id = this.#placeId;
    this.#placeId = undefined;
    if (id !== undefined) this.#source.places.refused(id, retryAfterMs);
  }

  #dropPermit(): void {
    this.#permit?.giveBack();
    this.#permit = undefined;
  }

  #placement(
    reservation: Reservation,
    permit: SendPermit,
    times: { readonly waitMs: Milliseconds; readonly prefillMs: Milliseconds },
  ): Placement {
    const { replica, id, tokens } = reservation;
    const made = this.#export;
    const address = made?.replica.entry.address ?? "";
    return {
      replica,
      permit,
      tokens,
      waitMs: Math.round(times.waitMs),
      prefillMs: Math.round(times.prefillMs),
      ...(made ? { export: made } : {}),
      head: {
        mode: CallMode.whole,
        replica: replica.entry.id,
        priority: this.#source.request.priority,
        reservation: id,
        ...(made ? { export: { address, id: made.id } } : {}),
      },
    };
  }

  release(): void {
    const { context } = this.#source;
    if (this.#reservation) dropReservation(context, this.#reservation);
    if (this.#export) this.#prefills.drop(this.#export);
    this.#dropPermit();
    this.taken();
    this.#endPlace();
  }

  failed(failure: PlaceFailure): void {
    const { places } = this.#source;
    const { turnedAway, isBackoff } = failure;
    const exportLost = turnedAway && !isBackoff && this.#export !== undefined;
    const id = this.#placeId;
    this.#placeId = undefined;
    if (exportLost) this.#whole = true;
    if (id !== undefined) {
      if (exportLost) places.exportLost(id);
      else if (isBackoff) places.refused(id);
      else places.failed(id);
    }
    this.release();
  }

  taken(): void {
    this.#reservation = undefined;
    this.#export = undefined;
  }

  used(): void {
    const id = this.#placeId;
    this.#placeId = undefined;
    if (id !== undefined) this.#source.places.answered(id);
  }

  end(): void {
    this.#ended = true;
    this.#cancelWait();
    this.#prefills.end();
    this.release();
  }
}
