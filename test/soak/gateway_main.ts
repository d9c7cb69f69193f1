/**
 * Entry point of a gateway whose path to the replicas the soak can cut, with
 * messages over the IPC channel.
 */
import { deferReloads } from "../../src/gateway/early_reload.ts";
import type { PathCut } from "./replica_path.ts";

deferReloads();
const { start } = await import("../../platform/start.ts");
const { ReplicaPath } = await import("./replica_path.ts");
const path = new ReplicaPath();
process.on("message", (cut: PathCut) => path.setCut(cut));
process.channel?.unref();
await start(path.connect);
