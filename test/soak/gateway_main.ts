/**
 * Entry point of a gateway whose paths to replicas and other hosts the soak can
 * cut, whose machine it can let sleep, and which it can stop while it is busy, with
 * messages over the IPC channel.
 */
import "./first_line.ts";
import { handleSignals } from "../../src/gateway/early_signals.ts";
import { stopWhileBusy } from "./busy_stop.ts";
import { type HostMessage, sleepMachine } from "./machine_sleep.ts";

const signals = handleSignals();
const { start } = await import("../../platform/start.ts");
const { ReplicaPath } = await import("./replica_path.ts");
const { PeerPath } = await import("./peer_path.ts");
const path = new ReplicaPath();
const peerPath = new PeerPath();
peerPath.install();
process.on("message", (message: HostMessage) => {
  if (message.type === "sleep") sleepMachine(message.forMs);
  else if (message.type === "busyStop") stopWhileBusy(message);
  else if (message.type === "cutPeers") peerPath.setCutPorts(message.ports);
  else path.setCut(message.cut);
});
process.channel?.unref();
await start(signals, path.connect);
