/** Serves state requests and links of peers. */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { QuotaOwner } from "../quota/owner.ts";
import type { PlanService } from "../planning/plan_service.ts";
import type { TunnelServer } from "../paths/tunnel_server.ts";
import type { HostEntry } from "../port.ts";
import type { StateServer } from "../state/state_server.ts";
import type { HostDirectory } from "./directory.ts";
import { LinkPath } from "./link.ts";
import {
  encodePeerState,
  parseStateRequest,
  type PeerState,
  type PeerStateMessage,
  type PeerStateRequest,
} from "./peer_state.ts";

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
  const server = createServer((request, response) => {
    if (request.url === LinkPath.plan) return plans.accept(request, response);
    if (request.url === LinkPath.state) return states.accept(request, response);
    if (request.url === LinkPath.quota) return quotas.accept(request, response);
    if (request.url === LinkPath.limit) return limits.accept(request, response);
    request.resume();
    const body = JSON.stringify(peerStateResponse(options, request.url ?? "/"));
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(body);
  });
  server.on("connect", (request, socket: Socket) => {
    tunnels.accept(request, socket);
  });
  // The request of a link has no end, so it must not time out.
  server.requestTimeout = 0;
  return server;
}

/** The response to a state request with this path and query. */
export function peerStateResponse(
  options: Pick<
    PeerServerOptions,
    "context" | "self" | "directory" | "configAgeMs"
  >,
  target: string,
): PeerStateMessage {
  const { context, self, directory } = options;
  const { routes } = context;
  const hosts = [self, ...directory.entries()];
  const age = options.configAgeMs(context.clock.now());
  return {
    ...encodePeerState(newerState(context, parseStateRequest(target), hosts)),
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
  const { revision } = replicas;
  const listing = isNewer
    ? { revision, entries: replicas.entries() }
    : undefined;
  return {
    ...(config ? { config } : {}),
    ...(listing ? { listing } : {}),
    hosts,
    version: routes.version,
  };
}
