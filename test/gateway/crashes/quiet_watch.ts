/** Crash detection for tests in which no replica crashes. */
import { systemClock } from "../../../src/gateway/clock.ts";
import type { News } from "../../../src/gateway/state/fleet_news.ts";
import { CrashWatch } from "../../../src/gateway/crashes/crash_watch.ts";

/** An update exchange that sends nothing. */
export function quietNews(): News {
  return { greet: () => undefined, take: () => undefined };
}

/** A watch without records; every replica listens. */
export function quietWatch(): CrashWatch {
  return new CrashWatch({
    clock: systemClock,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    rule: { most: 3, lifeMs: 60_000 },
    isLeaving: () => false,
    probe: () => Promise.resolve("listens"),
  });
}
