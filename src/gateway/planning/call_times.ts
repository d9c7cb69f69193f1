/**
 * Durations of the recent calls of plain services. The load that it answers:
 * calls that are far slower than others of their route, because a replica
 * stalls or its queue is long.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";

/** The share of calls that end within the time of {@link CallTimes.lateMs}. */
const QUANTILE = 0.95;
/** Calls that are kept of one route, and for how long. */
const MAX_CALLS = 200;
const MAX_AGE_MS = 10_000;
/** Fewer calls don't show the quantile. */
const MIN_CALLS = 40;
/** How long a quantile is used before it is taken anew. */
const REFRESH_MS = 200;
/** Maximum number of recorded routes. */
const MAX_ROUTES = 500;

/** A route of a service. */
export type ServiceRoute = { readonly service: string; readonly route: string };

type RouteTimes = {
  readonly calls: { readonly at: Milliseconds; readonly runMs: Milliseconds }[];
  takenAt: Milliseconds;
  lateMs: Milliseconds | undefined;
};

/** Durations by service and route. */
export class CallTimes {
  readonly #routes = new Map<string, RouteTimes>();

  /** Records the duration of a call, or how long one ran that was aborted. */
  note(route: ServiceRoute, runMs: Milliseconds, now: Milliseconds): void {
    const key = keyOf(route);
    const times = this.#routes.get(key) ??
      { calls: [], takenAt: -Infinity, lateMs: undefined };
    // The routes that were used last are evicted last.
    this.#routes.delete(key);
    this.#routes.set(key, times);
    evictOldest(this.#routes, MAX_ROUTES);
    times.calls.push({ at: now, runMs });
    if (times.calls.length > MAX_CALLS) times.calls.shift();
  }

  /**
   * The time within which most calls of the route end; undefined: too few calls
   * are known.
   */
  lateMs(route: ServiceRoute, now: Milliseconds): Milliseconds | undefined {
    const times = this.#routes.get(keyOf(route));
    if (!times) return undefined;
    if (now - times.takenAt < REFRESH_MS) return times.lateMs;
    times.takenAt = now;
    const recent = times.calls.filter(({ at }) => now - at < MAX_AGE_MS)
      .map(({ runMs }) => runMs)
      .sort((a, b) => a - b);
    times.lateMs = recent.length < MIN_CALLS
      ? undefined
      : recent[Math.ceil(QUANTILE * recent.length) - 1];
    return times.lateMs;
  }
}

function keyOf({ service, route }: ServiceRoute): string {
  return JSON.stringify([service, route]);
}
