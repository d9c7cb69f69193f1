/** What hosts and the owners of quotas tell each other, as lines of JSON. */
import * as z from "zod";

const Rate = z.object({
  perSecond: z.number().positive(),
  burst: z.number().min(0),
});

/** What a host took of a customer's quota, from another owner. */
const Usage = z.object({
  customer: z.string(),
  units: z.number().min(0),
  agoMs: z.number(),
  rate: Rate,
  /** The configuration that has this rate. */
  version: z.number(),
});

const Member = z.object({
  type: z.literal("member"),
  /** The shards whose quotas the host takes from this owner, and no others. */
  shards: z.array(z.number()).readonly(),
  /** How long the host's process has run. */
  upMs: z.number().min(0),
  /** What it took within the last window and this owner doesn't know of. */
  usage: z.array(Usage).readonly(),
});

const Take = z.object({
  type: z.literal("take"),
  id: z.string(),
  customer: z.string(),
  units: z.number().min(0),
  rate: Rate,
  /** The configuration that has this rate. */
  version: z.number(),
  /** How long the request may wait for its units. */
  mostWaitMs: z.number(),
});

const GiveBack = z.object({
  type: z.literal("give-back"),
  customer: z.string(),
  units: z.number().min(0),
  /** How long ago they were taken. */
  agoMs: z.number(),
});

/** The first line of an owner. */
const Hello = z.object({
  type: z.literal("hello"),
  /** Names the run of its process: another run knows nothing of this one. */
  run: z.string(),
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
/** A host names its owner. */
export type QuotaMembership = z.output<typeof Member>;
/** What a host took of a customer's quota. */
export type QuotaUsage = z.output<typeof Usage>;

/** From an owner to a host. */
export const OwnerMessageSchema = z.discriminatedUnion("type", [
  Hello,
  Granted,
  Refused,
  Ping,
]);
/** From an owner to a host. */
export type OwnerMessage = z.output<typeof OwnerMessageSchema>;
