/**
 * The booked cost of one service along time, in intervals of equal length.
 * Places follow each other as fast as the service gets free, so that the
 * callers of a burst don't all retry at the same moment.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Length of one interval. */
const INTERVAL_MS: Milliseconds = 25;
/** Maximum number of intervals that one place extends over. */
const MAX_INTERVALS = 400;
/**
 * Part of the possible delay, at its end, in which places are preferred: most
 * bursts are over by then, and a return during the burst would delay a new
 * request that can still be in time.
 */
const PREFERRED_PART = 0.1;

/** What to book, and within which time. */
export type TimelineRequest = {
  readonly cost: number;
  /** Cost per millisecond that may be booked. */
  readonly costPerMs: number;
  readonly earliestAt: Milliseconds;
  readonly latestAt: Milliseconds;
};

/** An interval with room, and the direction in which to look for more. */
type FreeInterval = { readonly index: number; readonly step: 1 | -1 };

/** Booked cost by interval. */
export class ReturnTimeline {
  readonly #booked = new Map<number, number>();
  /** Cost of the places that begin in an interval and are not claimed. */
  readonly #unclaimed = new Map<number, number>();

  /** Books a free place; returns when it begins. */
  book(request: TimelineRequest): Milliseconds | undefined {
    const { cost, earliestAt, latestAt } = request;
    const capacity = request.costPerMs * INTERVAL_MS;
    if (!(capacity > 0) || earliestAt > latestAt) return undefined;
    const found = this.#freeInterval(request, capacity);
    if (!found) return undefined;
    const { index } = found;
    const used = (this.#booked.get(index) ?? 0) / capacity;
    const beginsAt = clamp((index + used) * INTERVAL_MS, earliestAt, latestAt);
    this.#fill(found, cost, capacity);
    add(this.#unclaimed, intervalOf(beginsAt), cost);
    return beginsAt;
  }

  /** Removes a place from the unclaimed ones. */
  claim(beginsAt: Milliseconds, cost: number): void {
    add(this.#unclaimed, intervalOf(beginsAt), -cost);
  }

  /** Cost of the unclaimed places that begin between two times. */
  unclaimedCost(from: Milliseconds, until: Milliseconds): number {
    const first = intervalOf(from);
    const last = intervalOf(until);
    let sum = 0;
    for (const [index, cost] of this.#unclaimed) {
      if (index >= first && index < last) sum += cost;
    }
    return sum;
  }

  /** Forgets what was booked before a time. */
  dropBefore(time: Milliseconds): void {
    const first = intervalOf(time);
    for (const costs of [this.#booked, this.#unclaimed]) {
      for (const index of costs.keys()) {
        if (index < first) costs.delete(index);
      }
    }
  }

  /** The first free interval of the preferred part, or the last before it. */
  #freeInterval(
    { earliestAt, latestAt }: TimelineRequest,
    capacity: number,
  ): FreeInterval | undefined {
    const isFree = (index: number) => (this.#booked.get(index) ?? 0) < capacity;
    const first = intervalOf(earliestAt);
    const last = intervalOf(latestAt);
    const preferredMs = (latestAt - earliestAt) * PREFERRED_PART;
    const preferred = intervalOf(latestAt - preferredMs);
    for (let index = preferred; index <= last; index++) {
      if (isFree(index)) return { index, step: 1 };
    }
    for (let index = preferred - 1; index >= first; index--) {
      if (isFree(index)) return { index, step: -1 };
    }
    return undefined;
  }

  /** Adds a cost to the free part of an interval and of the next ones. */
  #fill(
    { index: start, step }: FreeInterval,
    cost: number,
    capacity: number,
  ): void {
    const end = start + step * MAX_INTERVALS;
    let rest = cost;
    for (let index = start; rest > 0 && index !== end; index += step) {
      const free = capacity - (this.#booked.get(index) ?? 0);
      if (free <= 0) continue;
      const part = Math.min(free, rest);
      add(this.#booked, index, part);
      rest -= part;
    }
  }
}

function intervalOf(time: Milliseconds): number {
  return Math.floor(time / INTERVAL_MS);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

function add(costs: Map<number, number>, index: number, cost: number): void {
  const sum = (costs.get(index) ?? 0) + cost;
  if (sum > 0) costs.set(index, sum);
  else costs.delete(index);
}
