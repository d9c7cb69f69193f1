/** Computes when an account's window has room for a request. */
import type { Milliseconds } from "../../util/units.ts";
import { type Allowance, BURST_SHARE, BURST_SPAN_SHARE } from "./bounds.ts";
import type { WindowLog } from "./window_log.ts";

/** Units that must be available. */
export type Need = {
  readonly units: number;
  /** Beside those, within the next `spanMs`; none if absent. */
  readonly keptUnits?: (spanMs: Milliseconds) => number;
};

/** Time until units can be granted; Infinity if there is none. */
export function waitFor(
  log: WindowLog,
  { units, keptUnits = () => 0 }: Need,
  { units: limit, windowMs }: Allowance,
  now: Milliseconds,
): Milliseconds {
  const burstMs = windowMs * BURST_SPAN_SHARE;
  const inBurst = units + keptUnits(burstMs);
  const availableAt = Math.max(
    log.availableAt(units + keptUnits(windowMs), {
      limit,
      spanMs: windowMs,
      now,
    }),
    log.availableAt(inBurst, {
      limit: Math.max(inBurst, limit * BURST_SHARE),
      spanMs: burstMs,
      now,
    }),
  );
  return availableAt - now;
}
