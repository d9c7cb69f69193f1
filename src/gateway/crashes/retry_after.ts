/** When the caller of a quarantined request may retry it. */
import type { Milliseconds } from "../../util/units.ts";
import type { Quarantine } from "./model.ts";

/** The delay for the `Retry-After` header: until the quarantine ends. */
export function retryAfterQuarantine(
  { until }: Quarantine,
  now: Milliseconds,
): { readonly retryAfterSeconds: number } {
  return { retryAfterSeconds: Math.max(1, Math.ceil((until - now) / 1000)) };
}
