/** Crowds of new connections at one host. */
import type { Fault } from "./fault_kinds.ts";
import type { FleetHost } from "./fleet.ts";
import { ProcessorLimit } from "./processor_limit.ts";
import type { World } from "./world.ts";

/** In every other crowd the host has this part of a core only. */
const LIMITED_SHARE = 0.3;

/** Sends most new connections to a host; the result undoes it. */
export function concentrateConnections(
  { balance }: World,
  { process }: FleetHost,
  { target }: Fault,
): () => Promise<void> {
  const spread = balance.concentrate(process.name);
  const isLimited = target % 2 === 0 && process.isRunning;
  const limit = isLimited
    ? new ProcessorLimit([{ pid: process.pid, share: LIMITED_SHARE }])
    : undefined;
  return async () => {
    spread();
    await limit?.end();
  };
}
