/** How hosts tell each other of limits, over links. */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import type { LimitRecord } from "./model.ts";

const Limit = z.object({
  incarnation: z.string(),
  /** Requests a second; absent: no limit any more. */
  perSecond: z.number().min(0).exactOptional(),
  /** Hosts share no clock. */
  agoMs: z.number(),
});

/** Reads what a host knows of limits. */
export const LimitsSchema = z.object({
  type: z.literal("limits"),
  limits: z.array(Limit).readonly(),
});
/** What a host knows of limits. */
export type LimitsMessage = z.output<typeof LimitsSchema>;

/** Records as others read them. */
export function encodeLimits(
  records: readonly LimitRecord[],
  now: Milliseconds,
): LimitsMessage {
  const limits = records.map(({ at, ...one }) => ({
    ...one,
    agoMs: Math.max(0, Math.round(now - at)),
  }));
  return { type: "limits", limits };
}

/** Records by this host's clock. */
export function decodeLimits(
  { limits }: LimitsMessage,
  now: Milliseconds,
): LimitRecord[] {
  return limits.map(({ agoMs, ...one }) => ({
    ...one,
    at: now - Math.max(0, agoMs),
  }));
}
