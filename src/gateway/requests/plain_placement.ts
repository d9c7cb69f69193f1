/**
 * Places for requests of plain services. Their planner knows what the whole
 * fleet has at each replica; when it does not answer in time, this host
 * chooses by its own calls.
 */
import type { Milliseconds } from "../../core/ids.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { NoPlace, Place, Places } from "../planning/places.ts";
import { CallMode } from "../port.ts";
import { chooseReplica } from "../replicas/choice.ts";
import type { Replica } from "../replicas/replica.ts";
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

/** Places one request. */
export class PlainPlacement implements Placer {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #places: Places;
  #cancelWait: () => void = () => undefined;
  /** Names the place at its planner, while there is one. */
  #placeId: string | undefined;

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
    const { clock, replicas } = this.#context;
    const askedAt = clock.now();
    const place = await this.#ask(need, askedAt);
    const waitMs = clock.now() - askedAt;
    if ("reason" in place && place.reason === "busy") {
      return busy(place);
    }
    const planned = "decode" in place ? replicas.get(place.decode) : undefined;
    if (planned && replicas.open(planned)) return placement(planned, waitMs);
    this.release();
    const own = this.#chooseAlone(need.excluded);
    if (!own) return { error: GatewayError.noReplica };
    return placement(own, waitMs);
  }

  async #ask(
    { excluded, begun }: PlaceNeed,
    askedAt: Milliseconds,
  ): Promise<Place | NoPlace> {
    const { clock } = this.#context;
    const { service, receivedAt, route, limitAt, priority } = this.#request;
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
      longestRetryMs: PLANNER_MS,
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
    this.#cancelWait();
    this.release();
  }

  #takeId(): string | undefined {
    const id = this.#placeId;
    this.#placeId = undefined;
    return id;
  }
}

function busy({ retryAfterMs, planner, basis }: NoPlace): PlaceRefusal {
  return {
    error: GatewayError.busy,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    basis: { planner, ...basis },
  };
}

function placement(replica: Replica, waitMs: Milliseconds): Placement {
  const head = { mode: CallMode.whole, replica: replica.entry.id };
  return { replica, tokens: 0, waitMs: Math.round(waitMs), head };
}
