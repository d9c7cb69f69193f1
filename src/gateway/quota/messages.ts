/** Messages between hosts and quota owners, sent as lines of JSON. */
import * as z from "zod";

const Rate = z.object({
  perSecond: z.number().positive(),
  burst: z.number().min(0),
});

/** Units that a host acquired from another owner. */
const Usage = z.object({
  customer: z.string(),
  units: z.number().min(0),
  agoMs: z.number(),
  rate: Rate,
  /** Version of the configuration that defines the rate. */
  version: z.number(),
  /** As in the grant. */
  isProvisional: z.boolean().exactOptional(),
  /** As in a request for units. */
  priority: z.number().exactOptional(),
});

const Member = z.object({
  type: z.literal("member"),
  /** All shards for which the host requests quota from this owner. */
  shards: z.array(z.number()).readonly(),
  /** Uptime of the host's process. */
  upMs: z.number().min(0),
  /** What it acquired in the last window and has not reported to this owner. */
  usage: z.array(Usage).readonly(),
});

/**
 * What the owner's own host acquired: it would be lost with the owner, so the
 * next host in the owner's order keeps a copy.
 */
const Backup = z.object({
  type: z.literal("backup"),
  /** Identifies the run of the process in which the owner has it on record. */
  run: z.string(),
  usage: z.array(Usage).readonly(),
});

const Acquire = z.object({
  type: z.literal("take"),
  id: z.string(),
  customer: z.string(),
  units: z.number().min(0),
  rate: Rate,
  /** Version of the configuration that defines the rate. */
  version: z.number(),
  /** Longest time that the request may wait for its units. */
  mostWaitMs: z.number(),
  /** Among the account's requests; 0, the default, is the most urgent. */
  priority: z.number().exactOptional(),
  /** Absent: the request gets no place to retry at when it is refused. */
  retry: z.object({
    /** Equal for every attempt of the same request. */
    key: z.string(),
    /** Longest retry delay that the caller accepts. */
    longestMs: z.number(),
  }).exactOptional(),
});

const Release = z.object({
  type: z.literal("give-back"),
  customer: z.string(),
  units: z.number().min(0),
  /** Time since they were acquired. */
  agoMs: z.number(),
  /** As in the request for the units. */
  priority: z.number().exactOptional(),
});

/** The first message that an owner sends on a link. */
const Hello = z.object({
  type: z.literal("hello"),
  /**
   * Identifies this run of the owner's process; its records are lost at its
   * end.
   */
  run: z.string(),
});

const Granted = z.object({
  type: z.literal("granted"),
  id: z.string(),
  /** Delay before the units may be used. */
  afterMs: z.number(),
  /**
   * Whether the owner may not know all units that earlier owners granted; false
   * by default. The next owner doesn't take these for units granted before.
   */
  isProvisional: z.boolean().exactOptional(),
});

const Refused = z.object({
  type: z.literal("refused"),
  id: z.string(),
  /** Time after which the units may be available. */
  retryAfterMs: z.number(),
});

const Ping = z.object({ type: z.literal("ping") });

/** Schema of the messages from a host to an owner. */
export const MemberMessageSchema = z.discriminatedUnion("type", [
  Member,
  Backup,
  Acquire,
  Release,
  Ping,
]);
/** A message from a host to an owner. */
export type MemberMessage = z.output<typeof MemberMessageSchema>;
/** The report of a host that has chosen this owner. */
export type QuotaMembership = z.output<typeof Member>;
/** A copy of what an owner's own host acquired. */
export type QuotaBackup = z.output<typeof Backup>;
/** Units that a host acquired and did not use. */
export type QuotaRelease = z.output<typeof Release>;
/** Units that a host acquired from another owner. */
export type QuotaUsage = z.output<typeof Usage>;

/** Schema of the messages from an owner to a host. */
export const OwnerMessageSchema = z.discriminatedUnion("type", [
  Hello,
  Granted,
  Refused,
  Ping,
]);
/** A message from an owner to a host. */
export type OwnerMessage = z.output<typeof OwnerMessageSchema>;
