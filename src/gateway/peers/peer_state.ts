/**
 * Messages by which a host gets state from a peer while the store is
 * unavailable: the newest configuration, the listing of replicas and the known
 * hosts.
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

/** The schema of a peer's response. */
export const PeerStateSchema = z.object({
  /** Absent if the peer's is no newer than the requester's. */
  config: RouteConfigSchema.exactOptional(),
  listing: Listing.exactOptional(),
  hosts: z.array(HostEntrySchema).readonly(),
  /** Version of the peer's configuration. */
  version: z.number(),
  /** The newest version that the peer has observed; absent if it is its own. */
  newest: z.number().exactOptional(),
  /**
   * Time before the response at which the store had no newer version; absent if
   * the peer has no such information.
   */
  configAgeMs: z.number().exactOptional(),
});

/** A peer's response. */
export type PeerState = z.output<typeof PeerStateSchema>;
/** A peer's response in its encoded form. */
export type PeerStateMessage = z.input<typeof PeerStateSchema>;

export function encodePeerState(state: PeerState): PeerStateMessage {
  const { listing, ...rest } = state;
  if (!listing) return rest;
  const entries = listing.entries.map(encodeEntry);
  return { ...rest, listing: { ...listing, entries } };
}

/** A request for state that is newer than the requester's. */
export type PeerStateRequest = {
  readonly version: number;
  readonly revision: number;
};

/** The path and query of a request. */
export function stateRequestPath(request: PeerStateRequest): string {
  return `/state?routes=${request.version}&replicas=${request.revision}`;
}

/** Parses the path and query of a request. */
export function parseStateRequest(target: string): PeerStateRequest {
  const query = new URL(target, "http://peer").searchParams;
  return {
    version: Number(query.get("routes") ?? 0) || 0,
    revision: Number(query.get("replicas") ?? -1),
  };
}

/** Parses a response; undefined if it is malformed. */
export function readPeerState(body: string): PeerState | undefined {
  return readJson(PeerStateSchema, body);
}
