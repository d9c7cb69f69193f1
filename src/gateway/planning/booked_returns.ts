/**
 * Books places for callers of an overloaded service, so that each of them is
 * refused once and served when it retries. Answers the load of a burst whose
 * callers come back: retries are spread as the service gets free, and a caller
 * that repeats before its time gains nothing.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type {
  BookingRequest,
  Bookings,
  Claim,
  RefusedReturn,
  ReturningRequest,
} from "./bookings.ts";
import { RecentPriorities } from "./recent_priorities.ts";
import { ReturnTimeline } from "./return_timeline.ts";

/**
 * Share of a service that is booked at most. The rest is left to new requests,
 * which can still meet their objectives.
 */
const BOOKED_SHARE = 0.3;
/** Part of it that less urgent requests leave to more urgent ones. */
const URGENT_SHARE = 0.5;
/** How long before its time a place may be claimed. */
const EARLY_MS: Milliseconds = 50;
/** How long after its time a place may be claimed. */
const LATE_MS: Milliseconds = 500;
/** How long after its time an unclaimed place is expected to be claimed. */
const EXPECTED_LATE_MS: Milliseconds = 100;
/** How long after its time a place that was not claimed is remembered. */
const LAPSED_TTL_MS: Milliseconds = 8000;
/**
 * Maximum difference between the deadlines of two attempts of one caller, which
 * are measured at different hosts.
 */
const DEADLINE_TOLERANCE_MS: Milliseconds = 100;
/** Interval at which what is over is dropped. */
const SWEEP_INTERVAL_MS: Milliseconds = 500;
/** Maximum number of places. */
const MAX_PLACES = 8000;

/** Why there is no claim. */
const NO_CLAIM: Claim = { type: "none" };

/** Options of {@link BookedReturns}. */
export type BookedReturnsOptions = {
  isEnabled(): boolean;
  /** The kind of a service, by which its metrics are counted. */
  kindOf(service: string): string;
  readonly metrics: Pick<Metrics, "count">;
  readonly events: Pick<EventLog, "note">;
};

type Place = {
  readonly service: string;
  readonly cost: number;
  readonly beginsAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
};

/** The bookings of one planner. */
export class BookedReturns implements Bookings {
  readonly #options: BookedReturnsOptions;
  readonly #timelines = new Map<string, ReturnTimeline>();
  /** Places by service and key; several callers may send the same request. */
  readonly #places = new Map<string, Place[]>();
  readonly #priorities = new RecentPriorities();
  #count = 0;
  #sweptAt: Milliseconds = -Infinity;

  constructor(options: BookedReturnsOptions) {
    this.#options = options;
  }

  get isEnabled(): boolean {
    return this.#options.isEnabled();
  }

  /** Number of places that are remembered. */
  get size(): number {
    return this.#count;
  }

  book(request: BookingRequest, now: Milliseconds): Milliseconds | undefined {
    if (!this.isEnabled) return undefined;
    this.#sweep(now);
    const { service, priority, cost, earliestAt, latestAt } = request;
    this.#priorities.note(service, priority, now);
    const leavesRoom = this.#priorities.hasMoreUrgent(service, priority, now);
    const share = BOOKED_SHARE * (leavesRoom ? URGENT_SHARE : 1);
    const beginsAt = this.#count >= MAX_PLACES
      ? undefined
      : this.#timelineOf(service).book({
        cost,
        costPerMs: request.costPerMs * share,
        earliestAt: Math.max(earliestAt, now + EARLY_MS),
        latestAt,
      });
    this.#countReturn(beginsAt === undefined ? "unplaced" : "booked", service);
    if (beginsAt === undefined) return undefined;
    if (request.key !== "") {
      const { deadlineAt } = request;
      this.#add(request, { service, cost, beginsAt, deadlineAt });
    }
    return beginsAt;
  }

  claim(request: ReturningRequest, now: Milliseconds): Claim {
    if (this.#count === 0 || request.begun) return NO_CLAIM;
    const place = this.#find(request, now);
    if (!place) return NO_CLAIM;
    const { service, beginsAt, cost } = place;
    if (now < beginsAt - EARLY_MS) {
      this.#countReturn("early", service);
      return { type: "early", retryAfterMs: beginsAt - now };
    }
    this.#remove(request, place);
    this.#timelineOf(service).claim(beginsAt, cost);
    if (now > beginsAt + LATE_MS) {
      this.#countReturn("lapsed", service);
      return { type: "lapsed" };
    }
    this.#countReturn("claimed", service);
    return { type: "claimed", beginsAt };
  }

  noteRefusal(
    { claim, request: { id, service } }: RefusedReturn,
    retryAfterMs: Milliseconds | undefined,
    now: Milliseconds,
  ): void {
    if (claim.type !== "claimed") return;
    this.#countReturn("refused", service);
    this.#options.events.note("returnRefused", {
      request: id,
      service,
      booked_ms_ago: Math.round(now - claim.beginsAt),
      ...(retryAfterMs === undefined
        ? {}
        : { retry_after_ms: Math.round(retryAfterMs) }),
    });
  }

  costUntil(service: string, until: Milliseconds, now: Milliseconds): number {
    if (this.#count === 0) return 0;
    const timeline = this.#timelines.get(service);
    return timeline?.unclaimedCost(now - EXPECTED_LATE_MS, until) ?? 0;
  }

  /**
   * The place of the same caller. Two callers may send the same request at
   * different times, so the deadlines have to agree too.
   */
  #find(request: ReturningRequest, now: Milliseconds): Place | undefined {
    const deadlineAt = now + (request.deadlineMs ?? Infinity);
    let nearest: Place | undefined;
    let leastMs = DEADLINE_TOLERANCE_MS;
    for (const place of this.#places.get(placeKey(request)) ?? []) {
      const differenceMs = place.deadlineAt === deadlineAt
        ? 0
        : Math.abs(deadlineAt - place.deadlineAt);
      if (differenceMs > leastMs) continue;
      nearest = place;
      leastMs = differenceMs;
    }
    return nearest;
  }

  #add(request: Pick<BookingRequest, "service" | "key">, place: Place): void {
    const key = placeKey(request);
    const places = this.#places.get(key);
    if (places) places.push(place);
    else this.#places.set(key, [place]);
    this.#count += 1;
  }

  #remove(request: ReturningRequest, place: Place): void {
    const key = placeKey(request);
    const places = this.#places.get(key) ?? [];
    const rest = places.filter((other) => other !== place);
    this.#count -= places.length - rest.length;
    if (rest.length > 0) this.#places.set(key, rest);
    else this.#places.delete(key);
  }

  /** Drops the places whose callers did not come back. */
  #sweep(now: Milliseconds): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    for (const [key, places] of this.#places) {
      const rest = places.filter(({ beginsAt }) =>
        now <= beginsAt + LAPSED_TTL_MS
      );
      this.#count -= places.length - rest.length;
      if (rest.length === 0) this.#places.delete(key);
      else if (rest.length < places.length) this.#places.set(key, rest);
    }
    for (const timeline of this.#timelines.values()) {
      timeline.dropBefore(now - LATE_MS);
    }
  }

  #timelineOf(service: string): ReturnTimeline {
    const known = this.#timelines.get(service);
    if (known) return known;
    const timeline = new ReturnTimeline();
    this.#timelines.set(service, timeline);
    return timeline;
  }

  #countReturn(result: string, service: string): void {
    const { metrics, kindOf } = this.#options;
    metrics.count(`returns_${result}_${kindOf(service)}`);
  }
}

function placeKey({ service, key }: ReturningRequest): string {
  return `${service}\n${key}`;
}
