/** Messages between a reader and its followers. */
import * as z from "zod";
import {
  encodeDelta,
  ListingComparisonSchema,
  ListingDeltaSchema,
} from "../replicas/schema.ts";
import { HostEntriesSchema, HostEntrySchema } from "../peers/host_schema.ts";
import { RouteConfigSchema } from "../routing/schema.ts";
import { UPDATE_SCHEMAS } from "./fleet_updates.ts";

const Follow = z.object({
  type: z.literal("follow"),
  /** The revision of the follower's listing; -1: it needs the full listing. */
  revision: z.number(),
  /** The follower's listing, for a reader without changes since `revision`. */
  comparison: ListingComparisonSchema.exactOptional(),
  /** Version of the follower's configuration. */
  version: z.number(),
  /** The follower's clock. */
  sentAt: z.number(),
  /** The follower itself, so that its reader can announce it to others. */
  host: HostEntrySchema,
});

/** Requests an echo, from which the follower derives the clock offset. */
const Sync = z.object({
  type: z.literal("sync"),
  /** The follower's clock. */
  sentAt: z.number(),
  /** Version of the follower's configuration if the reader named none as new. */
  version: z.number().exactOptional(),
});

/** Hosts that follow the sender, directly or not, and are new to it. */
const Joined = z.object({
  type: z.literal("joined"),
  hosts: HostEntriesSchema,
});

const State = z.object({
  type: z.literal("state"),
  /**
   * The newest era of the store that the reader has observed; absent: the store
   * reported none, or the reader runs a version without eras.
   */
  era: z.number().exactOptional(),
  /** The era is not settled: the store may still lack what a restore lost. */
  isSettling: z.literal(true).exactOptional(),
  /** Age of the reader's store state; absent: it reports none. */
  ageMs: z.number().exactOptional(),
  /**
   * Time by the reader's clock at which its listing was the store's; absent:
   * unknown. Unlike `ageMs` it doesn't depend on when the message is read.
   */
  listedAsOf: z.number().exactOptional(),
  /** Version of the configuration in force at the reader. */
  version: z.number(),
  /**
   * The newest version announced to the reader, if the reader lacks it: its
   * followers may be able to fetch it nevertheless.
   */
  newest: z.number().exactOptional(),
  /** The configuration, if the follower has an older one. */
  config: RouteConfigSchema.exactOptional(),
  /**
   * Time by the reader's clock at which the store had no newer configuration;
   * absent: unknown.
   */
  configAsOf: z.number().exactOptional(),
  /**
   * The reader was suspended since its last message: offsets to its clock are
   * too low.
   */
  isResumed: z.literal(true).exactOptional(),
  /** When the reader received the follower's last `sentAt`. */
  echo: z.object({ sentAt: z.number(), heardAt: z.number() }).exactOptional(),
  /** Changes of the listing since the last message. */
  listing: ListingDeltaSchema.exactOptional(),
  /** Hosts that were not yet sent to the follower. */
  hosts: HostEntriesSchema.exactOptional(),
  /** Hosts that have expired. */
  hostsGone: z.array(z.string()).readonly().exactOptional(),
});

const Ping = z.object({ type: z.literal("ping") });

/** Messages from a follower to its reader. */
export const FollowerMessageSchema = z.discriminatedUnion("type", [
  Follow,
  Sync,
  Joined,
  ...UPDATE_SCHEMAS,
  Ping,
]);
/** Messages from a reader to a follower. */
export const ReaderMessageSchema = z.discriminatedUnion("type", [
  State,
  ...UPDATE_SCHEMAS,
  Ping,
]);
/** The reader's state, with the data that the follower lacks. */
export type StateMessage = z.output<typeof State>;

/** Encodes a state message for the wire. */
export function encodeState(message: StateMessage): z.input<typeof State> {
  const { listing, ...rest } = message;
  if (!listing) return rest;
  return { ...rest, listing: encodeDelta(listing) };
}
