/** Tells peers the newest state that this host has. */
import { createServer, type Server } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { QuotaOwner } from "../quota/owner.ts";
import type { PlanService } from "../planning/plan_service.ts";
import type { HostEntry } from "../port.ts";
import type { StateServer } from "../state/state_server.ts";
import type { HostDirectory } from "./directory.ts";
import { LinkPath } from "./link.ts";
import {
  encodePeerState,
  type PeerQuestion,
  type PeerState,
  type PeerStateMessage,
  readQuestion,
} from "./peer_state.ts";

/** What the peers' server tells from. */
export type PeerServerSource = {
  readonly context: GatewayContext;
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly plans: PlanService;
  readonly states: StateServer;
  readonly quotas: QuotaOwner;
  /** Of the limits that replicas name. */
  readonly limits: QuotaOwner;
  /** Age of what this host knows of the configuration; Infinity: it has none. */
  configAgeMs(now: Milliseconds): Milliseconds;
};

/** Makes the peers' server; it does not listen yet. */
export function createPeerServer(
  source: PeerServerSource,
): Server {
  const { plans, states, quotas, limits } = source;
  const server = createServer((request, response) => {
    if (request.url === LinkPath.plan) return plans.accept(request, response);
    if (request.url === LinkPath.state) return states.accept(request, response);
    if (request.url === LinkPath.quota) return quotas.accept(request, response);
    if (request.url === LinkPath.limit) return limits.accept(request, response);
    request.resume();
    const body = JSON.stringify(answerTo(source, request.url ?? "/"));
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(body);
  });
  // A link's request has no end.
  server.requestTimeout = 0;
  return server;
}

/** The answer to a question by its path and query. */
export function answerTo(
  source: Pick<
    PeerServerSource,
    "context" | "self" | "directory" | "configAgeMs"
  >,
  target: string,
): PeerStateMessage {
  const { context, self, directory } = source;
  const { routes } = context;
  const hosts = [self, ...directory.entries()];
  const age = source.configAgeMs(context.clock.now());
  return {
    ...encodePeerState(stateFor(context, readQuestion(target), hosts)),
    ...(routes.isBehind ? { newest: routes.newestVersion } : {}),
    ...(Number.isFinite(age) ? { configAgeMs: Math.ceil(age) } : {}),
  };
}

/** What the asker does not have yet. */
export function stateFor(
  context: Pick<GatewayContext, "routes" | "replicas">,
  question: PeerQuestion,
  hosts: readonly HostEntry[],
): PeerState {
  const { routes, replicas } = context;
  const config = routes.version > question.version ? routes.config : undefined;
  const newer = replicas.revision > question.revision;
  const { revision } = replicas;
  const listing = newer ? { revision, entries: replicas.entries() } : undefined;
  return {
    ...(config ? { config } : {}),
    ...(listing ? { listing } : {}),
    hosts,
    version: routes.version,
  };
}
