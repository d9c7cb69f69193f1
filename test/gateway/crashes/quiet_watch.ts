/** A watch of crashes for tests in which no replica crashes. */
import { systemClock } from "../../../src/gateway/clock.ts";
import type { CrashSharing } from "../../../src/gateway/crashes/crash_sharing.ts";
import { CrashWatch } from "../../../src/gateway/crashes/crash_watch.ts";

/** Shares nothing. */
export function quietSharing(): Pick<CrashSharing, "greet" | "take"> {
  return { greet: () => undefined, take: () => undefined };
}

/** A watch that knows of nothing; every replica listens. */
export function quietWatch(): CrashWatch {
  return new CrashWatch({
    clock: systemClock,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    rule: { most: 3, lifeMs: 60_000 },
    probe: () => Promise.resolve("listens"),
  });
}
