/** Tells peers the newest state that this host has. */
import { createServer, type Server } from "node:http";
import type { GatewayContext } from "../context.ts";
import type { HostEntry } from "../port.ts";
import type { HostDirectory } from "./directory.ts";
import { type PeerQuestion, type PeerState, readQuestion } from "./peer_state.ts";

/** Makes the peers' server; it does not listen yet. */
export function createPeerServer(
  context: GatewayContext,
  self: HostEntry,
  directory: HostDirectory,
): Server {
  return createServer((request, response) => {
    request.resume();
    const question = readQuestion(request.url ?? "/");
    const state = stateFor(context, question, [self, ...directory.entries()]);
    const body = JSON.stringify(state);
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(body);
  });
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
  return structuredClone({
    ...(config ? { config } : {}),
    ...(listing ? { listing } : {}),
    hosts,
  }) as PeerState;
}
