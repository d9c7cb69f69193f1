/**
 * What hosts tell each other when the store turns one of them away: the
 * newest configuration and listing of replicas, and the hosts they know.
 */
import * as z from "zod";
import { readJson } from "../../util/read_json.ts";
import { RouteKind } from "../routing/model.ts";
import { ReplicaEntrySchema } from "../replicas/schema.ts";
import { HostEntrySchema } from "./host_schema.ts";

const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(RouteKind),
  timeoutMs: z.number(),
  objectiveMs: z.number(),
  gapMs: z.number(),
  silenceMs: z.number(),
  attempts: z.number(),
  priority: z.number(),
  targets: z.array(z.object({ service: z.string(), weight: z.number() })),
  resumable: z.boolean(),
});

const Engine = z.object({
  slots: z.number(),
  cacheTokens: z.number(),
  exportMs: z.number(),
  reservationMs: z.number(),
  tokensPerEvent: z.number(),
  switchMs: z.number(),
});

const Config = z.object({
  version: z.number(),
  routes: z.array(Route),
  services: z.array(z.object({
    name: z.string(),
    connectionLimit: z.number(),
    engine: Engine.exactOptional(),
  })),
  limits: z.object({
    bodyBytes: z.number(),
    headerMs: z.number(),
    idleMs: z.number(),
  }),
});

const Listing = z.object({
  revision: z.number(),
  entries: z.array(ReplicaEntrySchema),
});

/** The schema of a peer's answer. */
export const PeerStateSchema = z.object({
  /** Absent: no newer than the asker's. */
  config: Config.exactOptional(),
  listing: Listing.exactOptional(),
  hosts: z.array(HostEntrySchema),
});

/** A peer's answer. */
export type PeerState = z.output<typeof PeerStateSchema>;

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
