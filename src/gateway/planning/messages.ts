/** What hosts and a planner tell each other, as lines of JSON. */
import * as z from "zod";

/** How far a placed request is. */
export const PlaceStage = {
  /** Its prompt has been read. */
  prefilled: "prefilled",
  /** Its prompt could not be read where that was planned. */
  prefillFailed: "prefill-failed",
  /** The prefill was done, but the decode replica could not have it. */
  exportLost: "export-lost",
  /** The limit of the prefill replica had no room for it. */
  prefillLimited: "prefill-limited",
  /** The decode replica had no memory for it, or its limit no room. */
  refused: "refused",
  /** The decode replica did not take it for another reason. */
  failed: "failed",
  /** Its whole answer came; it holds nothing any more. */
  answered: "answered",
  /** It holds nothing any more, and says nothing of its replica. */
  ended: "ended",
} as const;
/** One of the values of {@link PlaceStage}. */
export type PlaceStage = typeof PlaceStage[keyof typeof PlaceStage];

const Ask = z.object({
  type: z.literal("ask"),
  id: z.string(),
  service: z.string(),
  /** Memory that it takes at a decode replica. */
  tokens: z.number(),
  promptTokens: z.number(),
  hall: z.string(),
  /** Rank of its route; 0 is the most urgent. */
  priority: z.number(),
  /** Time until its first event is due; negative when it is late. */
  slackMs: z.number(),
  patienceMs: z.number(),
  /** Names the prompt, to know a request that comes back; may be empty. */
  key: z.string(),
  /** Longest time to come back that its caller heeds. */
  longestRetryMs: z.number(),
  /**
   * An earlier send of the request may have run, or its caller already has a
   * part of the answer: it goes before new requests and is never refused early.
   */
  begun: z.boolean(),
  /** The decode replica is to read the prompt itself. */
  whole: z.boolean(),
  excluded: z.array(z.string()),
});

const Keep = z.object({
  type: z.literal("keep"),
  id: z.string(),
  decode: z.string(),
  tokens: z.number(),
});

const Progress = z.object({
  type: z.literal("progress"),
  id: z.string(),
  stage: z.enum(PlaceStage),
  /** How long its prefill took, with stage "prefilled". */
  spentMs: z.number().exactOptional(),
  /** When a limit that had no room has some. */
  retryAfterMs: z.number().exactOptional(),
});

const Grant = z.object({
  type: z.literal("grant"),
  id: z.string(),
  decode: z.string(),
  /** Absent: the decode replica reads the prompt. */
  prefill: z.string().exactOptional(),
});

/** What a refusal was decided on. */
const Basis = z.object({
  /** Decode replicas that take new work. */
  decodes: z.number(),
  /** Share of their memory that is given away. */
  held: z.number(),
  /** Asks that wait at the planner. */
  waiting: z.number(),
  /** All replicas limit their requests, and those have no room. */
  isLimited: z.literal(true).exactOptional(),
});
/** What a refusal was decided on. */
export type RefusalBasis = z.output<typeof Basis>;

const Refusal = z.object({
  type: z.literal("refusal"),
  id: z.string(),
  reason: z.enum(["no-replica", "no-memory", "busy"]),
  /** When to come back, with reason "busy". */
  retryAfterMs: z.number().exactOptional(),
  basis: Basis,
});

const Ping = z.object({ type: z.literal("ping") });

/** From a host to its planner. */
export const HostMessageSchema = z.discriminatedUnion("type", [
  Ask,
  Keep,
  Progress,
  Ping,
]);
/** From a host to its planner. */
export type HostMessage = z.output<typeof HostMessageSchema>;
/** Asks for a place. */
export type PlanAsk = z.output<typeof Ask>;
/** Names a place that an earlier planner gave. */
export type PlanKeep = z.output<typeof Keep>;
/** Tells how far a placed request is. */
export type PlanProgress = z.output<typeof Progress>;

/** From a planner to a host. */
export const PlannerMessageSchema = z.discriminatedUnion("type", [
  Grant,
  Refusal,
  Ping,
]);
/** From a planner to a host. */
export type PlannerMessage = z.output<typeof PlannerMessageSchema>;
/** A place is given. */
export type PlanGrant = z.output<typeof Grant>;
/** There is no place. */
export type PlanRefusal = z.output<typeof Refusal>;
