/** Messages between hosts and a planner, as lines of JSON. */
import * as z from "zod";
import { isNestedDeeper } from "../../util/is_nested_deeper.ts";

/** Levels of a summary of rates, with some for later versions. */
const MAX_SUMMARY_LEVELS = 12;

/** Progress of an assigned request. */
export const AssignmentStage = {
  /** Its prefill is done. */
  prefilled: "prefilled",
  /** Its prefill failed at the assigned replica. */
  prefillFailed: "prefill-failed",
  /**
   * The prefill was done, but the decode replica could not fetch the export.
   */
  exportLost: "export-lost",
  /** The limit of the prefill replica had no room for it. */
  prefillLimited: "prefill-limited",
  /** The first event, or the complete response of a plain request, began. */
  started: "started",
  /** Events received so far; without events, its caller holds it up. */
  running: "running",
  /** The decode replica had no memory for it, or its limit had no room. */
  refused: "refused",
  /** The decode replica did not accept it for another reason. */
  failed: "failed",
  /** Its complete response was received; the assignment is released. */
  answered: "answered",
  /** The assignment is released; nothing is known about its replica. */
  ended: "ended",
} as const;
/** One of the values of {@link AssignmentStage}. */
export type AssignmentStage =
  typeof AssignmentStage[keyof typeof AssignmentStage];

/** Stages after which an assignment, or the wait for one, is over. */
export const ENDING_STAGES: ReadonlySet<AssignmentStage> = new Set([
  AssignmentStage.exportLost,
  AssignmentStage.refused,
  AssignmentStage.failed,
  AssignmentStage.answered,
  AssignmentStage.ended,
]);

const PlanRequestSchema = z.object({
  type: z.literal("ask"),
  id: z.string(),
  service: z.string(),
  /** Memory that it needs at a decode replica. */
  tokens: z.number(),
  promptTokens: z.number(),
  /** Tokens that it is expected to generate; 0 for a plain request. */
  outputTokens: z.number(),
  /** The customer that sent it; empty without customers. */
  customer: z.string(),
  /** Time within which its first event is on time. */
  objectiveMs: z.number(),
  hall: z.string(),
  /** Rank of its route; 0 is the most urgent. */
  priority: z.number(),
  /** Time until its first event is due; negative when it is late. */
  slackMs: z.number(),
  /** Time until the request is abandoned. */
  patienceMs: z.number(),
  /** Identifies the prompt, to recognize a retry; may be empty. */
  key: z.string(),
  /** Longest retry delay that its caller accepts. */
  longestRetryMs: z.number(),
  /** Time until its caller stops waiting; absent if that is unknown. */
  deadlineMs: z.number().exactOptional(),
  /**
   * An earlier attempt may have run, or the caller has received a part of the
   * response: the request is scheduled before new ones and never refused early.
   */
  begun: z.boolean(),
  /** The decode replica has to do a local prefill. */
  whole: z.boolean(),
  /** It may run more than once. */
  repeatable: z.literal(true).exactOptional(),
  /** The name of its route, at a plain service. */
  route: z.string().exactOptional(),
  /** The attempt before ended with an error response. */
  afterError: z.literal(true).exactOptional(),
  /** Another attempt is in progress; refused while the service is busy. */
  second: z.literal(true).exactOptional(),
  excluded: z.array(z.string()),
  /**
   * A stream that goes on only at decode replicas of this software version;
   * without one: at those whose version is not known.
   */
  boundTo: z.object({ softwareVersion: z.string().exactOptional() })
    .exactOptional(),
});

const PlanHandoverSchema = z.object({
  type: z.literal("keep"),
  id: z.string(),
  service: z.string(),
  decode: z.string(),
  tokens: z.number(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  priority: z.number(),
  customer: z.string(),
  /** Events received so far, and the time since the first one. */
  events: z.number(),
  runMs: z.number(),
});

const PlanProgressSchema = z.object({
  type: z.literal("progress"),
  id: z.string(),
  stage: z.enum(AssignmentStage),
  /** Duration of its prefill, with stage "prefilled". */
  spentMs: z.number().exactOptional(),
  /** Time until a limit that had no room has some. */
  retryAfterMs: z.number().exactOptional(),
  /** Time from the send to the decode replica to the first event. */
  firstEventMs: z.number().exactOptional(),
  /** Events received so far. */
  events: z.number().exactOptional(),
  /**
   * Time from the first event to the last one received; of a plain call: its
   * duration, or with stage "ended" how long it ran until another attempt was
   * answered.
   */
  runMs: z.number().exactOptional(),
  /** The replica responded with an error status, with stage "failed". */
  isError: z.literal(true).exactOptional(),
});

const PlanGrantSchema = z.object({
  type: z.literal("grant"),
  id: z.string(),
  decode: z.string(),
  /** Absent: the decode replica does a local prefill. */
  prefill: z.string().exactOptional(),
  /** An error response of a plain replica is passed on without a retry. */
  finalErrors: z.literal(true).exactOptional(),
  /** Time from the send after which a second attempt may be requested. */
  secondAfterMs: z.number().exactOptional(),
});

/** State of the pool on which a refusal was decided. */
const RefusalBasisSchema = z.object({
  /** Decode replicas that accept new work. */
  decodes: z.number(),
  /** Share of their memory that is reserved. */
  held: z.number(),
  /** Requests that wait at the planner. */
  waiting: z.number(),
  /** All replicas limit their requests, and no limit has room. */
  isLimited: z.literal(true).exactOptional(),
  /** Forecast time to the first event; absent if never, or if not forecast. */
  forecastMs: z.number().exactOptional(),
});
/** State of the pool on which a refusal was decided. */
export type RefusalBasis = z.output<typeof RefusalBasisSchema>;

const PlanRefusalSchema = z.object({
  type: z.literal("refusal"),
  id: z.string(),
  reason: z.enum(["no-replica", "no-memory", "busy"]),
  /** Time after which to retry, with reason "busy". */
  retryAfterMs: z.number().exactOptional(),
  basis: RefusalBasisSchema,
});

const RatesMessageSchema = z.object({
  type: z.literal("rates"),
  service: z.string(),
  /** Time since the planner made the summary. */
  ageMs: z.number(),
  /** See `rate_summary.ts`; only the planner that adopts it parses it. */
  summary: z.unknown().refine((summary) =>
    !isNestedDeeper(summary, MAX_SUMMARY_LEVELS)
  ),
});
/** What a planner has measured of the replicas of a service. */
export type RatesMessage = z.output<typeof RatesMessageSchema>;

const PingSchema = z.object({ type: z.literal("ping") });

/** From a host to its planner. */
export const HostMessageSchema = z.discriminatedUnion("type", [
  PlanRequestSchema,
  PlanHandoverSchema,
  PlanProgressSchema,
  RatesMessageSchema,
  PingSchema,
]);
/** From a host to its planner. */
export type HostMessage = z.output<typeof HostMessageSchema>;
/** Requests an assignment. */
export type PlanRequest = z.output<typeof PlanRequestSchema>;
/** Hands over an assignment that an earlier planner granted. */
export type PlanHandover = z.output<typeof PlanHandoverSchema>;
/** Reports the progress of an assigned request. */
export type PlanProgress = z.output<typeof PlanProgressSchema>;

/** An answer of a planner to a host, or a ping. */
export const PlannerMessageSchema = z.discriminatedUnion("type", [
  PlanGrantSchema,
  PlanRefusalSchema,
  PingSchema,
]);
/** An answer of a planner to a host, or a ping. */
export type PlannerMessage = z.output<typeof PlannerMessageSchema>;
/** From a planner to a host. */
export const PlannerLineSchema = z.discriminatedUnion("type", [
  ...PlannerMessageSchema.options,
  RatesMessageSchema,
]);
/** From a planner to a host. */
export type PlannerLine = z.output<typeof PlannerLineSchema>;
/** Grants an assignment. */
export type PlanGrant = z.output<typeof PlanGrantSchema>;
/** Refuses an assignment. */
export type PlanRefusal = z.output<typeof PlanRefusalSchema>;
