/** The demo's gateways, each a process of its own. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type GatewayAddresses,
  gatewaySettings,
  HALLS,
  LOOPBACK,
} from "./settings.ts";

const PROGRAM = fileURLToPath(
  new URL("../../platform/main.js", import.meta.url),
);
const POLL_INTERVAL_MS = 100;

/** A gateway process. */
export type Gateway = {
  readonly name: string;
  readonly addresses: GatewayAddresses;
  readonly process: ChildProcess;
  isRunning: boolean;
};

/** Gateways, one in each data hall, and the folder of their logs. */
export type Gateways = {
  readonly hosts: readonly Gateway[];
  readonly folder: string;
  /** Ends the processes and deletes their logs. */
  stop(): Promise<void>;
};

/** Starts a gateway in each data hall; resolves when all are ready. */
export async function startGateways(store: string): Promise<Gateways> {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-demo-"));
  const all = await Promise.all(HALLS.map(freeAddresses));
  const seeds = all.map(({ peers }) => peers);
  const hosts = HALLS.map((hall, at) => {
    const addresses = all[at] as GatewayAddresses;
    const name = `${hall}-1`;
    const file = join(folder, `${name}.toml`);
    writeFileSync(
      file,
      gatewaySettings({ name, hall, store, seeds, addresses }),
    );
    return startGateway(file, { name, addresses });
  });
  const stop = async () => {
    await Promise.all(hosts.map(kill));
    rmSync(folder, { recursive: true });
  };
  try {
    await Promise.all(hosts.map(waitUntilReady));
  } catch (error) {
    await stop();
    throw error;
  }
  return { hosts, folder, stop };
}

function startGateway(
  file: string,
  { name, addresses }: Pick<Gateway, "name" | "addresses">,
): Gateway {
  const process = spawn(globalThis.process.execPath, [PROGRAM], {
    env: { ...globalThis.process.env, OTTERHILL_CONFIG: file },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const log = createWriteStream(file.replace(/\.toml$/, ".log"));
  process.stdout.pipe(log, { end: false });
  process.stderr.pipe(log, { end: false });
  const gateway = { name, addresses, process, isRunning: true };
  process.on("exit", () => gateway.isRunning = false);
  return gateway;
}

/** Kills a gateway without notice. */
export async function kill({ process }: Gateway): Promise<void> {
  if (process.exitCode !== null || process.signalCode !== null) return;
  const ended = once(process, "exit");
  process.kill("SIGKILL");
  await ended;
}

async function waitUntilReady(gateway: Gateway): Promise<void> {
  const { name, addresses } = gateway;
  while (gateway.isRunning) {
    if (await isReady(addresses.readiness)) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`The gateway ${name} ended while it started`);
}

async function isReady(readiness: string): Promise<boolean> {
  try {
    const response = await fetch(`http://${readiness}/readiness`);
    return response.status === 200;
  } catch {
    return false;
  }
}

async function freeAddresses(): Promise<GatewayAddresses> {
  const servers = [1, 2, 3, 4].map(() => createServer().listen(0, LOOPBACK));
  await Promise.all(servers.map((server) => once(server, "listening")));
  const [callers, readiness, peers, metrics] = servers.map((server) => {
    const bound = server.address();
    const port = typeof bound === "object" && bound ? bound.port : 0;
    return `${LOOPBACK}:${port}`;
  });
  await Promise.all(
    servers.map((server) => once(server.close(), "close")),
  );
  return {
    callers: callers ?? "",
    readiness: readiness ?? "",
    peers: peers ?? "",
    metrics: metrics ?? "",
  };
}
