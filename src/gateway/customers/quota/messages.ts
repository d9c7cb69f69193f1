/** What hosts and the owners of quotas tell each other, as lines of JSON. */
import * as z from "zod";

const Member = z.object({
  type: z.literal("member"),
  /** The shards whose quotas the host takes from this owner, and no others. */
  shards: z.array(z.number()).readonly(),
});

const Take = z.object({
  type: z.literal("take"),
  id: z.string(),
  customer: z.string(),
  units: z.number().min(0),
  rate: z.object({
    perSecond: z.number().positive(),
    burst: z.number().min(0),
  }),
  /** The configuration that has this rate. */
  version: z.number(),
  /** How long the request may wait for its units. */
  mostWaitMs: z.number(),
});

const GiveBack = z.object({
  type: z.literal("give-back"),
  customer: z.string(),
  units: z.number().min(0),
});

const Granted = z.object({
  type: z.literal("granted"),
  id: z.string(),
  /** The request goes on after this time. */
  afterMs: z.number(),
});

const Refused = z.object({
  type: z.literal("refused"),
  id: z.string(),
  /** The units may be had then. */
  retryAfterMs: z.number(),
});

const Ping = z.object({ type: z.literal("ping") });

/** From a host to an owner. */
export const MemberMessageSchema = z.discriminatedUnion("type", [
  Member,
  Take,
  GiveBack,
  Ping,
]);
/** From a host to an owner. */
export type MemberMessage = z.output<typeof MemberMessageSchema>;

/** From an owner to a host. */
export const OwnerMessageSchema = z.discriminatedUnion("type", [
  Granted,
  Refused,
  Ping,
]);
/** From an owner to a host. */
export type OwnerMessage = z.output<typeof OwnerMessageSchema>;
