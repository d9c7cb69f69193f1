/** Restarts of replicas under their ids at their addresses. */
import { startReplica } from "../platform/replica_standin.ts";
import { parseAddress } from "../../src/util/address.ts";
import { startFaultProxy } from "./fault_proxy.ts";
import { sleep } from "./sleep.ts";
import type { World, WorldReplica } from "./world.ts";

const DOWNTIME_MS = 500;
/** From when a replica accepts requests to its entry. */
const RELIST_DELAY_MS = 300;

/**
 * Crashes a replica and starts it again under its id and at its address. It
 * accepts requests before it writes its entry.
 */
export async function restartInPlace(
  world: World,
  replica: WorldReplica,
  softwareVersion: string,
): Promise<void> {
  const { standin: { id, role, slowdown }, hall, proxy: { address } } = replica;
  const incarnation = replica.incarnation + 1;
  replica.isReady = false;
  replica.standin.crash();
  replica.proxy.stop();
  await sleep(DOWNTIME_MS);
  const standin = await startReplica({
    id,
    role,
    softwareVersion,
    born: incarnation,
    world,
    publicAddress: () => address,
  });
  standin.shapeResponse = () => world.shapes.next(id);
  standin.slowdown = slowdown;
  const port = parseAddress(address)?.port ?? 0;
  const proxy = await startFaultProxy(standin.address, port);
  const restarted = {
    standin,
    proxy,
    hall,
    softwareVersion,
    incarnation,
    isReady: true,
  };
  world.replicas.push(restarted);
  await sleep(RELIST_DELAY_MS);
  world.putEntry(restarted);
}
