/**
 * Places for requests of plain services. Their planner knows what the whole
 * fleet has at each replica; when it does not answer in time, this host
 * chooses by its own calls.
 */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type { NoPlace, Place, Places } from "../planning/places.ts";
import { CallMode } from "../port.ts";
import { chooseReplica } from "../replicas/choice.ts";
import type { Replica } from "../replicas/replica.ts";
import { availableFor } from "./availability.ts";
import {
  backoffRefusal,
  comeBackMs,
  noteLimit,
  plannerRefusal,
} from "./refusals.ts";
import { nextPlaceId } from "./place_ids.ts";
import type {
  PlaceFailure,
  Placement,
  PlaceNeed,
  Placer,
  PlaceRefusal,
} from "./placement.ts";
import type { GatewayRequest } from "./request.ts";

/** Longest wait for a planner, far below any objective. */
const PLANNER_MS = 80;
/** Longest time to come back where the caller doesn't say how long it waits. */
const USUAL_RETRY_MS = 4000;

/** Places one request. */
export class PlainPlacement implements Placer {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #places: Places;
  #cancelWait: () => void = () => undefined;
  /** Names the place at its planner, while there is one. */
  #placeId: string | undefined;
  #permit: SendPermit | undefined;
  #ended = false;

  constructor(
    context: GatewayContext,
    request: GatewayRequest,
    places: Places,
  ) {
    this.#context = context;
    this.#request = request;
    this.#places = places;
  }

  async place(need: PlaceNeed): Promise<Placement | PlaceRefusal> {
    const { clock, gate } = this.#context;
    const askedAt = clock.now();
    const tried = new Set(need.excluded);
    let soonestMs = Infinity;
    for (;;) {
      const available = availableFor(this.#context, this.#request, tried);
      if (available.type === "none") {
        const { retryAfterMs } = available;
        return backoffRefusal(this.#context, this.#request, retryAfterMs);
      }
      const { excluded } = available;
      const replica = await this.#choose({ ...need, excluded });
      if (this.#ended) return { error: GatewayError.noReplica };
      if (!replica && Number.isFinite(soonestMs)) {
        const retryAfterMs = comeBackMs(
          this.#context,
          this.#request,
          soonestMs,
        );
        return { error: GatewayError.limited, retryAfterMs };
      }
      if (!replica) return { error: GatewayError.noReplica };
      if ("error" in replica) return replica;
      const outcome = await gate.permit(replica);
      if (outcome.type === "closed") {
        this.release();
        continue;
      }
      if (outcome.type === "granted") {
        const { permit } = outcome;
        this.#permit = permit;
        if (!this.#ended) {
          return placement(replica, permit, clock.now() - askedAt);
        }
        this.release();
        return { error: GatewayError.noReplica };
      }
      const { retryAfterMs } = outcome;
      this.#noteLimit(replica, retryAfterMs);
      tried.add(replica.entry.incarnation);
      soonestMs = Math.min(soonestMs, retryAfterMs);
    }
  }

  /** The planner's replica, else one that this host chooses. */
  async #choose(need: PlaceNeed): Promise<Replica | PlaceRefusal | undefined> {
    const { clock, replicas, gate } = this.#context;
    const place = await this.#ask(need, clock.now());
    if ("reason" in place && place.reason === "busy") {
      return plannerRefusal(place);
    }
    const planned = "decode" in place ? replicas.get(place.decode) : undefined;
    if (planned && !gate.obstacle(planned)) return planned;
    this.release();
    return this.#chooseAlone(need.excluded);
  }

  /** Its limit has no room: the request goes elsewhere, and others should. */
  #noteLimit(replica: Replica, retryAfterMs: Milliseconds): void {
    noteLimit(this.#context, this.#request, { replica, retryAfterMs });
    const id = this.#takeId();
    if (id !== undefined) this.#places.refused(id, retryAfterMs);
  }

  async #ask(
    { excluded, begun }: PlaceNeed,
    askedAt: Milliseconds,
  ): Promise<Place | NoPlace> {
    const { clock } = this.#context;
    const { service, receivedAt, route, limitAt, priority, facts } =
      this.#request;
    const id = nextPlaceId(this.#context);
    const wait = this.#places.find({
      id,
      service,
      tokens: 1,
      promptTokens: 0,
      priority,
      dueAt: receivedAt + route.objectiveMs,
      giveUpAt: Math.min(limitAt, askedAt + PLANNER_MS),
      key: "",
      longestRetryMs: facts.longestRetryMs ?? USUAL_RETRY_MS,
      begun,
      whole: true,
      excluded,
    });
    this.#cancelWait = wait.cancel;
    const cancelTimer = clock.after(PLANNER_MS, wait.cancel);
    const place = await wait.result;
    cancelTimer();
    if ("decode" in place) this.#placeId = id;
    return place;
  }

  #chooseAlone(excluded: ReadonlySet<string>): Replica | undefined {
    const { replicas, clock, random, self, tuning } = this.#context;
    const open = replicas.openOf(this.#request.service);
    const query = {
      hall: self.hall,
      farCharge: tuning.farCharge,
      now: clock.now(),
      chance: random(),
      excluded,
    };
    return chooseReplica(
      open,
      query,
      (one) => one.calls / Math.max(1, one.entry.slots),
    );
  }

  release(): void {
    this.#permit?.giveBack();
    this.#permit = undefined;
    const id = this.#takeId();
    if (id !== undefined) this.#places.ended(id);
  }

  failed({ turnedAway }: PlaceFailure): void {
    const id = this.#takeId();
    if (id === undefined) return;
    if (turnedAway) this.#places.refused(id);
    else this.#places.failed(id);
  }

  taken(): void {}

  used(): void {
    const id = this.#takeId();
    if (id !== undefined) this.#places.answered(id);
  }

  end(): void {
    this.#ended = true;
    this.#cancelWait();
    this.release();
  }

  #takeId(): string | undefined {
    const id = this.#placeId;
    this.#placeId = undefined;
    return id;
  }
}

function placement(
  replica: Replica,
  permit: SendPermit,
  waitMs: Milliseconds,
): Placement {
  const head = { mode: CallMode.whole, replica: replica.entry.id };
  return { replica, permit, tokens: 0, waitMs: Math.round(waitMs), head };
}
