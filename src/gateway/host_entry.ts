/** This host's entry among the fleet's hosts. */
import type { GatewaySettings } from "../settings/mod.ts";
import type { HostEntry } from "./port.ts";

/**
 * Network link that goes with a core: a host that spends a core on the duties
 * of a planner sends and receives about that much.
 */
const LINK_MBPS_PER_CORE = 10;

/** The entry of the host that these settings describe. */
export function hostEntryOf({ host, listen }: GatewaySettings): HostEntry {
  const { id, hall, peer_address: address = listen.peers } = host;
  const capacity = capacityOf(host);
  return {
    id,
    address,
    hall,
    ...(capacity === undefined ? {} : { capacity }),
  };
}

function capacityOf(
  { cpu_cores: cores, cpu_share: share, link_mbps: link }:
    GatewaySettings["host"],
): number | undefined {
  if (cores === undefined) return undefined;
  const linkCores = link === undefined ? Infinity : link / LINK_MBPS_PER_CORE;
  return Math.min(cores * share, linkCores);
}
