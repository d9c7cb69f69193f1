/** Asks a replica that is no longer listed whether it still runs. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
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

async function isListening(
  { pool, dialect, routes, paths }: HealthContext,
  entry: ReplicaEntry,
): Promise<boolean> {
  const path = routes.service(entry.service)?.healthPath;
  if (path === undefined) return false;
  const answer = await pool.sendControlCall(entry, {
    call: { method: "GET", path },
    timeoutMs: TIMEOUT_MS,
  });
  pool.removeReplica(entry.incarnation);
  if (answer) return dialect.readHealth(answer.headers ?? {}) === entry.id;
  // A busy replica may not respond in time, but its address still listens.
  return await paths.monitor.probe(entry) === "listens";
}
