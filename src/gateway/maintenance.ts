/** Periodic work of a host. */
import type { GatewayContext } from "./context.ts";

/** A tick that is later than this is logged as a stall of the process. */
const STALL_THRESHOLD_MS = 1000;
const TICK_INTERVAL_MS = 1000;

/** Calls `maintain` every second, also after an error, and logs stalls. */
export function startMaintenance(
  context: Pick<GatewayContext, "clock" | "events" | "suspensions">,
  maintain: () => void,
): void {
  const { clock, events, suspensions } = context;
  const scheduledAt = clock.now();
  const suspensionsBefore = suspensions.check();
  clock.after(TICK_INTERVAL_MS, () => {
    try {
      suspensions.checkAll();
      const isSuspension = suspensions.check() !== suspensionsBefore;
      const delayMs = clock.now() - scheduledAt - TICK_INTERVAL_MS;
      if (delayMs > STALL_THRESHOLD_MS && !isSuspension) {
        events.note("stoodStill", { for_ms: Math.round(delayMs) });
      }
      maintain();
    } finally {
      startMaintenance(context, maintain);
    }
  });
}
