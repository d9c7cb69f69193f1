/**
 * Messages by which a host gets state from a peer while the store is
 * unavailable: the newest configuration, the listing of replicas and the known
 * hosts.
 */
import * as z from "zod";
import { arrayOf } from "../../util/array_of.ts";
import { readJson } from "../../util/read_json.ts";
import { RouteConfigSchema } from "../routing/schema.ts";
import type { ReplicaListing } from "../replicas/model.ts";
import {
  encodeDelta,
  encodeEntry,
  ListingDeltaSchema,
  ReplicaEntrySchema,
} from "../replicas/schema.ts";
import { HostEntriesSchema } from "./host_schema.ts";

const Listing = z.object({
  revision: z.number(),
  entries: arrayOf(ReplicaEntrySchema),
  /** Absent: peers of an earlier version don't know it of their listing. */
  isExact: z.boolean().exactOptional(),
  retained: arrayOf(z.string()).exactOptional(),
});

/** The schema of a peer's response. */
export const PeerStateSchema = z.object({
  /** Absent if the peer's is no newer than the requester's. */
  config: RouteConfigSchema.exactOptional(),
  listing: Listing.exactOptional(),
  /** The changes of the listing since the position that was requested. */
  changes: ListingDeltaSchema.exactOptional(),
  hosts: HostEntriesSchema,
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
export type PeerState =
  & Omit<z.output<typeof PeerStateSchema>, "listing">
  & { readonly listing?: ReplicaListing };
/** A peer's response in its encoded form. */
export type PeerStateMessage = z.input<typeof PeerStateSchema>;

export function encodePeerState(state: PeerState): PeerStateMessage {
  const { listing, changes, ...rest } = state;
  return {
    ...rest,
    ...(listing ? { listing: encodeListing(listing) } : {}),
    ...(changes ? { changes: encodeDelta(changes) } : {}),
  };
}

function encodeListing(
  { entries, isInexact = false, ...rest }: ReplicaListing,
): PeerStateMessage["listing"] {
  return { ...rest, entries: entries.map(encodeEntry), isExact: !isInexact };
}

/** A request for state that is newer than the requester's. */
export type PeerStateRequest = {
  readonly version: number;
  readonly revision: number;
  /**
   * The position from which the requester can apply changes; absent: none, or
   * it runs a version that only reads full listings.
   */
  readonly base?: number | undefined;
};

/** The path and query of a request. */
export function stateRequestPath(request: PeerStateRequest): string {
  const { version, revision, base } = request;
  const changes = base === undefined ? "" : `&base=${base}`;
  return `/state?routes=${version}&replicas=${revision}${changes}`;
}

/** Parses the path and query of a request. */
export function parseStateRequest(target: string): PeerStateRequest {
  // Not as a URL: the target of a request need not be one.
  const query = new URLSearchParams(target.split("?", 2)[1]);
  return {
    version: Number(query.get("routes") ?? 0) || 0,
    revision: Number(query.get("replicas") ?? -1),
    ...(query.has("base") ? { base: Number(query.get("base")) } : {}),
  };
}

/** Parses a response; undefined if it is malformed. */
export function readPeerState(body: string): PeerState | undefined {
  const state = readJson(PeerStateSchema, body);
  if (!state) return undefined;
  const { listing, ...rest } = state;
  if (!listing) return rest;
  const { isExact = false, ...others } = listing;
  return { ...rest, listing: { ...others, isInexact: !isExact } };
}
