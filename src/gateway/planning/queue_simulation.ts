/**
 * Keeps the places in time of a service's waiting requests, so that a request
 * that arrives is only added behind them. Requests are placed again if the order
 * ahead of them has changed.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Ledger } from "./ledger.ts";
import type { Place, PoolTimeline, TakenPlace } from "./pool_timeline.ts";
import type { QueuedRequest } from "./request_queue.ts";

/** What is simulated of a waiting request. */
export type WaitingRequest = Pick<QueuedRequest, "request" | "hasLeft">;

/** A request in the order in which the places were taken. */
type Placed = {
  readonly queued: WaitingRequest;
  /** Undefined if no replica may serve it. */
  readonly taken: TakenPlace | undefined;
};

/** Options of {@link QueueSimulation}. */
export type QueueSimulationOptions = {
  readonly timeline: PoolTimeline;
  readonly ledger: Pick<Ledger, "get">;
};

/** The places of the requests that wait at one pool. */
export class QueueSimulation {
  readonly #timeline: PoolTimeline;
  readonly #ledger: QueueSimulationOptions["ledger"];
  /**
   * Requests that have left the queue keep their places: what they were assigned
   * takes the time of the replicas, too.
   */
  readonly #placed: Placed[] = [];
  /** The requests ahead that were passed last, and how many have their places. */
  #ahead: readonly WaitingRequest[] = [];
  #aheadCount = 0;
  /** The number of elements of `#placed` that these are. */
  #placedCount = 0;
  /** Assigned since the last call. */
  #granted: WaitingRequest[] = [];
  /** The latest place that was not taken yet. */
  #next: { queued: WaitingRequest; place: Place | undefined } | undefined;

  constructor({ timeline, ledger }: QueueSimulationOptions) {
    this.#timeline = timeline;
    this.#ledger = ledger;
  }

  /** Amount of work done so far; see {@link PoolTimeline.work}. */
  get work(): number {
    return this.#timeline.work;
  }

  /** Records that a request has been assigned. */
  noteGrant(queued: WaitingRequest): void {
    this.#granted.push(queued);
  }

  /**
   * The place of a request behind those ahead of it, in scheduling order. During
   * one pass `ahead` is always the same array, to which requests are added.
   */
  placeOf(
    queued: WaitingRequest,
    ahead: readonly WaitingRequest[],
    now: Milliseconds,
  ): Place | undefined {
    this.#addGranted(now);
    this.#placeAhead(ahead, now);
    if (this.#isNext(queued)) {
      return this.#placed[this.#placedCount]?.taken?.place;
    }
    this.#releaseBehind();
    return this.#placeNext(queued, now);
  }

  /** Gives places to the requests ahead that have none. */
  #placeAhead(ahead: readonly WaitingRequest[], now: Milliseconds): void {
    if (ahead !== this.#ahead) {
      this.#ahead = ahead;
      this.#aheadCount = 0;
      this.#placedCount = 0;
    }
    for (; this.#aheadCount < ahead.length; this.#aheadCount++) {
      const queued = ahead[this.#aheadCount];
      if (!queued) break;
      if (!this.#isNext(queued)) {
        this.#releaseBehind();
        const place = this.#placeNext(queued, now);
        this.#take(queued, place);
      }
      this.#placedCount += 1;
    }
  }

  /** Whether the places ahead are followed by that of a request. */
  #isNext(queued: WaitingRequest): boolean {
    while (this.#placed[this.#placedCount]?.queued.hasLeft) {
      this.#placedCount += 1;
    }
    return this.#placed[this.#placedCount]?.queued === queued;
  }

  #placeNext(queued: WaitingRequest, now: Milliseconds): Place | undefined {
    if (this.#next?.queued !== queued) {
      const place = this.#timeline.placeFor(queued.request, now);
      this.#next = { queued, place };
    }
    return this.#next.place;
  }

  #take(queued: WaitingRequest, place: Place | undefined): void {
    const { promptTokens } = queued.request;
    const taken = place && this.#timeline.take(place, promptTokens);
    this.#placed.push({ queued, taken });
    this.#next = undefined;
  }

  /** Releases the places of the requests that wait behind those ahead. */
  #releaseBehind(): void {
    const behind = this.#placed.splice(this.#placedCount);
    if (behind.length === 0) return;
    this.#next = undefined;
    for (const { taken } of behind.toReversed()) {
      if (taken) this.#timeline.release(taken);
    }
    for (const { queued, taken } of behind) {
      if (queued.hasLeft) this.#take(queued, taken?.place);
    }
    this.#placedCount = this.#placed.length;
  }

  /** Adds the runs of requests that were assigned without having a place. */
  #addGranted(now: Milliseconds): void {
    for (const queued of this.#granted) {
      if (this.#placed.some((placed) => placed.queued === queued)) continue;
      const entry = this.#ledger.get(queued.request.id);
      const place = entry && this.#timeline.placeOfRun(entry, now);
      if (place) this.#take(queued, place);
    }
    this.#granted = [];
  }
}
