/** A deployment: the store, the replicas and three hosts, one in each hall. */
import { configOf, startReplicas } from "./deployment.js";
import { createGateways, sleep } from "./gateways.js";
import { startStore } from "./store.js";

export const HOSTS = 3;

/** Starts all parts and waits until the hosts have served for `settleMs`. */
export async function startWorld({ onEnd }, { replicas, routes, settleMs }) {
  const store = await startStore();
  onEnd(() => store.stop());
  const beats = await startReplicas(store, replicas);
  onEnd(() => beats.stop());
  store.put("op", "config", configOf(routes));
  const fleet = await createGateways({ count: HOSTS, store: store.address });
  onEnd(() => fleet.stop());
  for (const gateway of fleet.gateways) gateway.start();
  for (const gateway of fleet.gateways) await gateway.waitUntilReady();
  await sleep(settleMs);
  return { beats, hosts: fleet.gateways };
}
