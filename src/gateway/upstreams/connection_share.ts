/** Divides a replica's connections among the hosts. */

/** Share of a replica's connection limit that the fleet uses. */
const CONNECTION_SHARE = 0.8;

/**
 * This host's share of a replica's connection limit, at least one connection.
 * The shares of all hosts stay within the limit unless there are more hosts
 * than connections.
 */
export function connectionShare(limit: number, hosts: number): number {
  const share = limit * CONNECTION_SHARE / Math.max(1, hosts);
  return Math.max(1, Math.floor(share));
}
