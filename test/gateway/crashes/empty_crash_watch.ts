/** Crash detection for tests in which no replica crashes. */
import { systemClock } from "../../../src/gateway/clock.ts";
import type { UpdateExchange } from "../../../src/gateway/state/fleet_updates.ts";
import { CrashWatch } from "../../../src/gateway/crashes/crash_watch.ts";
import { UNASKED } from "./unasked.ts";

/** An update exchange that sends nothing. */
export function noopUpdateExchange(): UpdateExchange {
  return { sendAll: () => undefined, receive: () => undefined };
}

/** A watch without records; every replica listens. */
export function emptyCrashWatch(): CrashWatch {
  return new CrashWatch({
    clock: systemClock,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    host: "host",
    rule: { crashThreshold: 3, ttlMs: 60_000 },
    isDraining: () => false,
    probe: () => Promise.resolve("listens"),
    countReplicas: () => 2,
    ...UNASKED,
    isAlive: () => Promise.resolve(false),
  });
}
