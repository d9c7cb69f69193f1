/** Asks a replica for its id, and one that is no longer listed whether it runs. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { JsonAnswer } from "../upstreams/json_client.ts";
import { isRestarted } from "./is_restarted.ts";
import type { ReplicaEntry } from "./model.ts";

/** A health check waits for a free slot, as a request does. */
const TIMEOUT_MS: Milliseconds = 1000;

type HealthContext = Pick<
  GatewayContext,
  "pool" | "dialect" | "routes" | "paths" | "replicas"
>;

/**
 * Whether this incarnation responds to a health check, or is too busy to. The
 * response names the replica, since its address may have been given to another
 * one. It names no incarnation: once a later one is listed, this one has ended.
 */
export async function isReplicaAlive(
  context: HealthContext,
  entry: ReplicaEntry,
): Promise<boolean> {
  const { replicas } = context;
  if (isRestarted(replicas, entry)) return false;
  return await isListening(context, entry) && !isRestarted(replicas, entry);
}

/**
 * Reads the id of the replica at an entry's address; undefined if it doesn't
 * tell it in time.
 */
export async function readReplicaId(
  context: Pick<HealthContext, "pool" | "dialect" | "routes">,
  entry: ReplicaEntry,
): Promise<string | undefined> {
  const answer = await checkHealth(context, entry);
  return answer && context.dialect.readHealth(answer.headers ?? {});
}

async function checkHealth(
  { pool, routes }: Pick<HealthContext, "pool" | "routes">,
  entry: ReplicaEntry,
): Promise<JsonAnswer | undefined> {
  const path = routes.service(entry.service)?.healthPath;
  if (path === undefined) return undefined;
  const call = { method: "GET", path } as const;
  return await pool.sendControlCall(entry, { call, timeoutMs: TIMEOUT_MS });
}

async function isListening(
  context: HealthContext,
  entry: ReplicaEntry,
): Promise<boolean> {
  const { pool, dialect, routes, paths } = context;
  if (routes.service(entry.service)?.healthPath === undefined) return false;
  const answer = await checkHealth(context, entry);
  pool.removeReplica(entry.incarnation);
  if (answer) return dialect.readHealth(answer.headers ?? {}) === entry.id;
  // A busy replica may not respond in time, but its address still listens.
  return await paths.monitor.probe(entry) === "listens";
}
