/** Serves state requests and links of peers. */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { QuotaOwner } from "../quota/owner.ts";
import type { PlanService } from "../planning/plan_service.ts";
import type { TunnelServer } from "../paths/tunnel_server.ts";
import type { HostEntry } from "../port.ts";
import type { ReplicaTable } from "../replicas/replica_table.ts";
import type { StateServer } from "../state/state_server.ts";
import { KEEPER_PATH } from "../streams/keeper_messages.ts";
import type { HostDirectory } from "./directory.ts";
import { LinkPath } from "./link.ts";
import { ListingPacer } from "./listing_pacer.ts";
import {
  encodePeerState,
  parseStateRequest,
  type PeerState,
  type PeerStateMessage,
  type PeerStateRequest,
} from "./peer_state.ts";
import { PROCESS_PATH, reportProcess } from "./process_report.ts";

/**
 * In a large fleet a host sends records of streams to the same peer every few
 * seconds only, and opening a connection costs more than the call.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

/** Options of the peers' server. */
export type PeerServerOptions = {
  readonly context: GatewayContext;
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly plans: PlanService;
  readonly states: StateServer;
  readonly quotas: QuotaOwner;
  /** Owner of the limits that replicas report. */
  readonly limits: QuotaOwner;
  readonly tunnels: TunnelServer;
  /**
   * Time since the store is known to have had no newer configuration; Infinity
   * if this is not known.
   */
  configAgeMs(now: Milliseconds): Milliseconds;
};

/** Creates the peers' server; the caller has to call `listen`. */
export function createPeerServer(
  options: PeerServerOptions,
): Server {
  const { plans, states, quotas, limits, tunnels } = options;
  const listings = new ListingPacer();
  const server = createServer((request, response) => {
    if (request.url === LinkPath.plan) return plans.accept(request, response);
    if (request.url === LinkPath.state) return states.accept(request, response);
    if (request.url === LinkPath.quota) return quotas.accept(request, response);
    if (request.url === LinkPath.limit) return limits.accept(request, response);
    if (request.url === LinkPath.tunnel) {
      return tunnels.acceptLink(request, response);
    }
    if (request.method === "POST" && request.url === KEEPER_PATH) {
      return options.context.streams.server.accept(request, response);
    }
    request.resume();
    if (request.url === PROCESS_PATH) {
      return reportProcess(options.context, response);
    }
    const target = request.url ?? "/";
    const body = JSON.stringify(
      peerStateResponse({ ...options, listings }, target),
    );
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(body);
  });
  server.on("connect", (request, socket: Socket) => {
    tunnels.accept(request, socket);
  });
  // The request of a link has no end, so it must not time out.
  server.requestTimeout = 0;
  server.keepAliveTimeout = IDLE_CONNECTION_TIMEOUT_MS;
  return server;
}

/** The response to a state request with this path and query. */
export function peerStateResponse(
  options:
    & Pick<
      PeerServerOptions,
      "context" | "self" | "directory" | "configAgeMs"
    >
    & { readonly listings: ListingPacer },
  target: string,
): PeerStateMessage {
  const { context, self, directory, listings } = options;
  const { routes, clock } = context;
  const now = clock.now();
  const hosts = [self, ...directory.entries()];
  const age = options.configAgeMs(now);
  const { listing, ...state } = newerState(
    context,
    parseStateRequest(target),
    hosts,
  );
  const isSent = listing && listings.take(listing.entries.length, now);
  return {
    ...encodePeerState(isSent ? { ...state, listing } : state),
    ...(routes.isBehind ? { newest: routes.newestVersion } : {}),
    ...(Number.isFinite(age) ? { configAgeMs: Math.ceil(age) } : {}),
  };
}

/** The state that is newer than the requester's. */
export function newerState(
  context: Pick<GatewayContext, "routes" | "replicas">,
  request: PeerStateRequest,
  hosts: readonly HostEntry[],
): PeerState {
  const { routes, replicas } = context;
  const config = routes.version > request.version ? routes.config : undefined;
  const isNewer = replicas.revision > request.revision;
  return {
    ...(config ? { config } : {}),
    ...(isNewer ? newerListing(replicas, request) : {}),
    hosts,
    version: routes.version,
  };
}

/** The changes since the requester's listing if they are known, or all of it. */
function newerListing(
  replicas: ReplicaTable,
  { base }: PeerStateRequest,
): Pick<PeerState, "listing" | "changes"> {
  const changes = base === undefined ? undefined : replicas.deltaSince(base);
  if (changes && changes.since >= 0 && replicas.isVerified) {
    return { changes: { ...changes, digest: replicas.digest } };
  }
  return { listing: replicas.listing() };
}
