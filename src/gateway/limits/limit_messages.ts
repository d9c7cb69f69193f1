/** Messages in which hosts report limits to each other over links. */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import type { LimitRecord } from "./model.ts";

const LimitMessage = z.object({
  incarnation: z.string(),
  /** Requests per second; absent when the limit has ended. */
  perSecond: z.number().min(0).exactOptional(),
  /**
   * Age of the record; a duration, since hosts' clocks are not synchronized.
   */
  agoMs: z.number(),
});

/** Schema of {@link LimitsMessage}. */
export const LimitsSchema = z.object({
  type: z.literal("limits"),
  limits: z.array(LimitMessage).readonly(),
});
/** Limit records of a host. */
export type LimitsMessage = z.output<typeof LimitsSchema>;

/** Encodes records, with ages instead of times. */
export function encodeLimits(
  records: readonly LimitRecord[],
  now: Milliseconds,
): LimitsMessage {
  const limits = records.map(({ at, ...record }) => ({
    ...record,
    agoMs: Math.max(0, Math.round(now - at)),
  }));
  return { type: "limits", limits };
}

/** Decodes records, with times by this host's clock. */
export function decodeLimits(
  { limits }: LimitsMessage,
  now: Milliseconds,
): LimitRecord[] {
  return limits.map(({ agoMs, ...record }) => ({
    ...record,
    at: now - Math.max(0, agoMs),
  }));
}
