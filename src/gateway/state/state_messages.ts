/** What the reader of the store and its followers tell each other. */
import * as z from "zod";
import { encodeEntry, ReplicaEntrySchema } from "../replicas/schema.ts";
import { HostEntrySchema } from "../peers/host_schema.ts";
import { RouteConfigSchema } from "../routing/schema.ts";
import { NEWS_SCHEMAS } from "./fleet_news.ts";

const Follow = z.object({
  type: z.literal("follow"),
  /** The revision of the follower's listing; -1: it wants the whole. */
  revision: z.number(),
  /** Version of the follower's configuration. */
  version: z.number(),
  /** The follower's clock. */
  sentAt: z.number(),
  /** The follower itself, so that its reader can name it to others. */
  host: HostEntrySchema,
});

/** Asks for an echo, by which the follower reads the reader's clock. */
const Sync = z.object({
  type: z.literal("sync"),
  /** The follower's clock. */
  sentAt: z.number(),
});

const State = z.object({
  type: z.literal("state"),
  /**
   * The newest era of the store that the reader knows; absent: the store told
   * none, or the reader is of a version that knows of none.
   */
  era: z.number().exactOptional(),
  /** The era began so lately that the store may lack what is written again. */
  isSettling: z.literal(true).exactOptional(),
  /** How old the reader's report of the store is; absent: it has none. */
  ageMs: z.number().exactOptional(),
  /** Version of the configuration in force at the reader. */
  version: z.number(),
  /**
   * The newest version that the reader has heard of, where it does not hold it
   * itself: its followers may be able to get what it can't.
   */
  newest: z.number().exactOptional(),
  /** The configuration, where the follower has an older one. */
  config: RouteConfigSchema.exactOptional(),
  /**
   * By the reader's clock: no newer configuration was in the store then.
   * Absent: the reader knows nothing of it.
   */
  configAsOf: z.number().exactOptional(),
  /** When the reader heard the follower's last `sentAt`. */
  echo: z.object({ sentAt: z.number(), heardAt: z.number() }).exactOptional(),
  /** What changed in the listing since the last message. */
  listing: z.object({
    since: z.number(),
    revision: z.number(),
    changed: z.array(ReplicaEntrySchema).readonly(),
    gone: z.array(z.string()).readonly(),
    size: z.number(),
  }).exactOptional(),
  /** Hosts that the follower was not told of yet. */
  hosts: z.array(HostEntrySchema).readonly().exactOptional(),
  /** Hosts that are believed no more. */
  hostsGone: z.array(z.string()).readonly().exactOptional(),
});

const Ping = z.object({ type: z.literal("ping") });

/** From a follower to its reader. */
export const FollowerMessageSchema = z.discriminatedUnion("type", [
  Follow,
  Sync,
  ...NEWS_SCHEMAS,
  Ping,
]);
/** From a reader to a follower. */
export const ReaderMessageSchema = z.discriminatedUnion("type", [
  State,
  ...NEWS_SCHEMAS,
  Ping,
]);
/** From a reader: how it is, and what the follower lacks. */
export type StateMessage = z.output<typeof State>;

/** A message as a follower reads it. */
export function encodeState(message: StateMessage): z.input<typeof State> {
  const { listing, ...rest } = message;
  if (!listing) return rest;
  const changed = listing.changed.map(encodeEntry);
  return { ...rest, listing: { ...listing, changed } };
}
