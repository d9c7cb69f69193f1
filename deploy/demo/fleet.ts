/** The demo's fleet: the platform's stand-ins and the gateways. */
import { EngineReplica, type EngineStage } from "../standins/engine.ts";
import { startPlainReplica } from "../standins/plain.ts";
import { startStore, type StoreStandin } from "../standins/store.ts";
import { type Gateways, startGateways } from "./gateways.ts";
import {
  CONFIG,
  ENGINE,
  HALLS,
  LOOPBACK,
  MEMORY_TOKENS,
  MODEL,
  PLAIN_SLOTS,
  replicaRow,
  SERVICE,
} from "./settings.ts";

/** Replicas of the engine in each data hall. */
const STAGES: readonly EngineStage[] = ["prefill", "decode", "decode"];
const PLAIN_SERVICE_MS = 30;

/** A running fleet. */
export type DemoFleet = {
  readonly gateways: Gateways;
  readonly replicas: readonly EngineReplica[];
  stop(): Promise<void>;
};

/** Starts the fleet on the loopback interface. */
export async function startFleet(): Promise<DemoFleet> {
  const store = await startStore(LOOPBACK);
  store.put("op", "config", CONFIG);
  const stops = [() => store.stop()];
  const byAddress = new Map<string, EngineReplica>();
  for (const hall of HALLS) {
    for (const [at, stage] of STAGES.entries()) {
      const id = `${stage}-${hall}-${at + 1}`;
      const replica = new EngineReplica({
        id,
        stage,
        parameters: ENGINE,
        memoryTokens: MEMORY_TOKENS,
        replicas: byAddress,
      });
      const { address, stop } = await replica.start(LOOPBACK);
      stops.push(stop);
      const row = replicaRow({ service: MODEL, address, hall, stage });
      store.put("servers", id, row);
    }
    stops.push(await addPlainReplica(store, hall));
  }
  const gateways = await startGateways(store.address);
  return {
    gateways,
    replicas: [...byAddress.values()],
    stop: async () => {
      await gateways.stop();
      for (const stop of stops) stop();
    },
  };
}

async function addPlainReplica(
  store: StoreStandin,
  hall: string,
): Promise<() => void> {
  const id = `api-${hall}`;
  const { address, stop } = await startPlainReplica(LOOPBACK, {
    id,
    slots: PLAIN_SLOTS,
    serviceMs: PLAIN_SERVICE_MS,
  });
  store.put("servers", id, replicaRow({ service: SERVICE, address, hall }));
  return stop;
}
