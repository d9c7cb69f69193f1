/** Measures the iterations of the event loop and logs long ones. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { watchIterations } from "./iteration_meter.ts";

/** An iteration that is busy for longer is logged. */
const LONG_ITERATION_MS: Milliseconds = 250;

/** Starts measuring; returns a function that ends it. */
export function meterIterations(
  { iterations, events }: Pick<GatewayContext, "iterations" | "events">,
): () => void {
  return watchIterations(() => {
    const busyMs = iterations.end();
    if (busyMs < LONG_ITERATION_MS) return;
    events.note("loopLate", { for_ms: Math.round(busyMs) });
  });
}
