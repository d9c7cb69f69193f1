/**
 * Entry point of a gateway whose path to the replicas the soak can cut, and
 * whose machine it can let sleep, with messages over the IPC channel.
 */
import { deferReloads } from "../../src/gateway/early_reload.ts";
import { type HostMessage, sleepMachine } from "./machine_sleep.ts";

deferReloads();
const { start } = await import("../../platform/start.ts");
const { ReplicaPath } = await import("./replica_path.ts");
const path = new ReplicaPath();
process.on("message", (message: HostMessage) => {
  if (message.type === "sleep") sleepMachine(message.forMs);
  else path.setCut(message.cut);
});
process.channel?.unref();
await start(path.connect);
