/** Follows the iterations of the event loop, and its stalls. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { watchIterations } from "./iteration_meter.ts";

/** An iteration that is busy for longer is logged. */
const LOGGED_ITERATION_MS: Milliseconds = 250;

/**
 * Starts following them; `onEnd` is called at the end of each. Returns a function
 * that ends it.
 */
export function followIterations(
  { iterations, stalls, clock, events }: Pick<
    GatewayContext,
    "iterations" | "stalls" | "clock" | "events"
  >,
  onEnd: (now: Milliseconds, busyMs: Milliseconds) => void,
): () => void {
  const stopTicks = stalls.start();
  const unwatch = watchIterations(() => {
    const busyMs = iterations.end();
    onEnd(clock.now(), busyMs);
    if (busyMs < LOGGED_ITERATION_MS) return;
    events.note("loopLate", { for_ms: Math.round(busyMs) });
  });
  return () => {
    stopTicks();
    unwatch();
  };
}
