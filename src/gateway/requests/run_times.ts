/** Durations of the recent runs of this host's requests. */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";

/** Runs that are kept of one route, and for how long. */
const MAX_RUNS = 200;
const MAX_AGE_MS: Milliseconds = 60_000;
/** Maximum number of recorded routes. */
const MAX_ROUTES = 500;
/** How long sorted durations are used before they are sorted anew. */
const REFRESH_MS: Milliseconds = 200;

/** A route of a service. */
export type RunRoute = { readonly service: string; readonly route: string };

/** A run in progress. */
export type OpenRun = {
  /** Records the duration of a run that was answered. */
  completed(now: Milliseconds): void;
  /**
   * Ends a run that was not answered, unless it has ended. One that lasted longer
   * than those before is recorded, because it would have taken even longer.
   */
  dropped(now: Milliseconds): void;
  /** Forgets a run that has not begun after all. */
  cancelled(): void;
};

/** The time within which a share of the recent runs ended. */
export type RunTime = {
  readonly runMs: Milliseconds;
  /** Number of runs that this is based on. */
  readonly runs: number;
};

type RouteRuns = {
  readonly ended: { readonly at: Milliseconds; readonly runMs: Milliseconds }[];
  /** When each open run began, the oldest first. */
  readonly open: Set<{ readonly startedAt: Milliseconds }>;
  sorted: readonly Milliseconds[];
  sortedAt: Milliseconds;
};

/** Durations by service and route. */
export class RunTimes {
  readonly #routes = new Map<string, RouteRuns>();

  /** Records the start of a run. */
  start(route: RunRoute, startedAt: Milliseconds): OpenRun {
    const runs = this.#runsOf(route);
    const run = { startedAt };
    runs.open.add(run);
    const record = (now: Milliseconds) => {
      runs.ended.push({ at: now, runMs: now - startedAt });
      if (runs.ended.length > MAX_RUNS) runs.ended.shift();
      // It no longer counts as an open run.
      runs.sortedAt = -Infinity;
    };
    return {
      completed: (now) => {
        if (runs.open.delete(run)) record(now);
      },
      dropped: (now) => {
        if (!runs.open.delete(run)) return;
        const isLongest = runs.ended.every(({ runMs }) =>
          runMs < now - startedAt
        );
        if (isLongest) record(now);
      },
      cancelled: () => void runs.open.delete(run),
    };
  }

  /** The time within which a share of the route's recent runs ended. */
  timeOf(
    route: RunRoute,
    { share, now }: { readonly share: number; readonly now: Milliseconds },
  ): RunTime {
    const runs = this.#routes.get(keyOf(route));
    if (!runs) return { runMs: 0, runs: 0 };
    const sorted = sortedRuns(runs, now);
    const endedMs = sorted[Math.ceil(share * sorted.length) - 1] ?? 0;
    // A run in progress shows that runs may take as long.
    const [oldest] = share === 1 ? runs.open : [];
    const openMs = oldest ? now - oldest.startedAt : 0;
    return { runMs: Math.max(endedMs, openMs), runs: sorted.length };
  }

  #runsOf(route: RunRoute): RouteRuns {
    const key = keyOf(route);
    const runs = this.#routes.get(key) ??
      { ended: [], open: new Set(), sorted: [], sortedAt: -Infinity };
    // The routes that were used last are evicted last.
    this.#routes.delete(key);
    this.#routes.set(key, runs);
    evictOldest(this.#routes, MAX_ROUTES);
    return runs;
  }
}

function sortedRuns(
  runs: RouteRuns,
  now: Milliseconds,
): readonly Milliseconds[] {
  if (now - runs.sortedAt < REFRESH_MS) return runs.sorted;
  runs.sortedAt = now;
  runs.sorted = runs.ended.filter(({ at }) => now - at < MAX_AGE_MS)
    .map(({ runMs }) => runMs)
    .sort((a, b) => a - b);
  return runs.sorted;
}

function keyOf({ service, route }: RunRoute): string {
  return JSON.stringify([service, route]);
}
