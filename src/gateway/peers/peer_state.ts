/**
 * What hosts tell each other when the store turns one of them away: the
 * newest configuration and listing of replicas, and the hosts they know.
 */
import * as z from "zod";
import { readJson } from "../../util/read_json.ts";
import { RouteConfigSchema } from "../routing/schema.ts";
import { encodeEntry, ReplicaEntrySchema } from "../replicas/schema.ts";
import { HostEntrySchema } from "./host_schema.ts";

const Listing = z.object({
  revision: z.number(),
  entries: z.array(ReplicaEntrySchema).readonly(),
});

/** The schema of a peer's answer. */
export const PeerStateSchema = z.object({
  /** Absent: no newer than the asker's. */
  config: RouteConfigSchema.exactOptional(),
  listing: Listing.exactOptional(),
  hosts: z.array(HostEntrySchema).readonly(),
  /** Version of the peer's configuration. */
  version: z.number(),
  /** The newest version that the peer has heard of; absent: its own. */
  newest: z.number().exactOptional(),
  /**
   * No newer version was in the store so long before the peer answered;
   * absent: the peer knows nothing of it.
   */
  configAgeMs: z.number().exactOptional(),
});

/** A peer's answer. */
export type PeerState = z.output<typeof PeerStateSchema>;
/** A peer's answer as it is sent. */
export type PeerStateMessage = z.input<typeof PeerStateSchema>;

/** An answer as the asker reads it. */
export function encodePeerState(state: PeerState): PeerStateMessage {
  const { listing, ...rest } = state;
  if (!listing) return rest;
  const entries = listing.entries.map(encodeEntry);
  return { ...rest, listing: { ...listing, entries } };
}

/** What the asker has: only newer state is told. */
export type PeerQuestion = {
  readonly version: number;
  readonly revision: number;
};

/** The path and query of a question. */
export function questionPath(question: PeerQuestion): string {
  return `/state?routes=${question.version}&replicas=${question.revision}`;
}

/** Reads a question's query. */
export function readQuestion(target: string): PeerQuestion {
  const query = new URL(target, "http://peer").searchParams;
  return {
    version: Number(query.get("routes") ?? 0) || 0,
    revision: Number(query.get("replicas") ?? -1),
  };
}

/** Reads an answer; undefined when it is none. */
export function readPeerState(body: string): PeerState | undefined {
  return readJson(PeerStateSchema, body);
}
