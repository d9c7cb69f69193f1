/** The meter of an event loop that is never late. */
import { IterationMeter } from "../../../src/gateway/load/iteration_meter.ts";

/** Creates the meter. */
export function idleLoop(): IterationMeter {
  return new IterationMeter({ now: () => 0, idleMs: () => 0 });
}
