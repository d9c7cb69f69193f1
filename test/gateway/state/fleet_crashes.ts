/** The crash detection of a host of a simulated fleet. */
import {
  CrashWatch,
  type CrashWatchOptions,
} from "../../../src/gateway/crashes/crash_watch.ts";
import { UNASKED } from "../crashes/unasked.ts";

const CRASH_RULE = { crashThreshold: 3, ttlMs: 60_000 };
const REPLICAS = 8;

/** Creates a watch that takes a replica without an answer for crashed. */
export function createFleetCrashes(
  options: Pick<
    CrashWatchOptions,
    "clock" | "events" | "metrics" | "host" | "isDraining" | "probe"
  >,
): CrashWatch {
  return new CrashWatch({
    ...options,
    rule: CRASH_RULE,
    countReplicas: () => REPLICAS,
    ...UNASKED,
    isAlive: () => Promise.resolve(false),
  });
}
