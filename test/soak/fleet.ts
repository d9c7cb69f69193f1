/** The gateways of a soak, each behind proxies of its paths. */
import { once } from "node:events";
import { request } from "node:http";
import { createServer } from "node:net";
import { xoroshiro128plus } from "pure-rand";
import { type CallKind, runCaller, type Seen } from "./callers.ts";
import { type FaultProxy, startProxy } from "./fault_proxy.ts";
import { GatewayProcess } from "./gateway_process.ts";
import { HALLS } from "./world.ts";

/** One gateway and what lies around it. */
export type FleetHost = {
  readonly process: GatewayProcess;
  readonly callers: string;
  readonly readiness: string;
  readonly metrics: string;
  /** From this host to the store. */
  readonly storePath: FaultProxy;
  /** From other hosts to this one. */
  readonly peerPath: FaultProxy;
  /** Readiness checks in a row that failed. */
  misses: number;
};

/** Misses after which the balancer gives a host no new connections. */
const MISSES_OUT = 2;
const CHECK_TIMEOUT_MS = 400;

/** Makes hosts; their processes are not started yet. */
export async function makeHosts(
  count: number,
  source: { readonly folder: string; readonly storeAddress: string },
): Promise<FleetHost[]> {
  const places = await Promise.all(
    Array.from({ length: count }, () => makePlace(source.storeAddress)),
  );
  const seeds = places.slice(0, 3).map((one) => one.peerPath.address);
  return places.map((place, at) => {
    const name = `host-${at + 1}`;
    const hall = HALLS[at % HALLS.length] ?? HALLS[0];
    const settings = settingsText(place, { name, hall, seeds });
    const process = new GatewayProcess({
      name,
      folder: source.folder,
      settings,
    });
    return { ...place, process, misses: MISSES_OUT };
  });
}

type Place = Omit<FleetHost, "process" | "misses"> & {
  readonly peers: string;
};

async function makePlace(storeAddress: string): Promise<Place> {
  const ports = await Promise.all([0, 1, 2, 3].map(() => freePort()));
  const at = (index: number) => `127.0.0.1:${ports[index]}`;
  return {
    callers: at(0),
    readiness: at(1),
    metrics: at(2),
    peers: at(3),
    storePath: await startProxy(storeAddress),
    peerPath: await startProxy(at(3)),
  };
}

/**
 * Ports that processes come back to after a restart lie below those that the
 * system gives to connections, or another may have taken them meanwhile.
 */
const FIRST_PORT = 12_000;
const PORTS = 18_000;
let nextPort = FIRST_PORT + process.pid * 64 % PORTS;

async function freePort(): Promise<number> {
  for (;;) {
    nextPort = FIRST_PORT + (nextPort + 1 - FIRST_PORT) % PORTS;
    const port = nextPort;
    const server = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    server.close();
    await once(server, "close");
    return port;
  }
}

function settingsText(
  place: Place,
  host: {
    readonly name: string;
    readonly hall: string;
    readonly seeds: readonly string[];
  },
): string {
  return `
seeds = ${JSON.stringify(host.seeds)}
grace = "8s"
[host]
id = "${host.name}"
hall = "${host.hall}"
peer_address = "${place.peerPath.address}"
[listen]
callers = "${place.callers}"
readiness = "${place.readiness}"
metrics = "${place.metrics}"
peers = "${place.peers}"
[store]
address = "${place.storePath.address}"
[retries]
extra = 50
`;
}

/** Ends the processes, also those that stand still, and their proxies. */
export async function endHosts(hosts: readonly FleetHost[]): Promise<void> {
  for (const { process, storePath, peerPath } of hosts) {
    process.resume();
    await process.kill();
    storePath.stop();
    peerPath.stop();
  }
}

/** Sends one request to a host, as a caller who waits for its end. */
export async function callHost(
  { process, callers }: FleetHost,
  call: {
    readonly id: string;
    readonly kind: CallKind;
    readonly body?: string;
  },
): Promise<Seen> {
  const all: Seen[] = [];
  await runCaller({
    hosts: [{ name: process.name, address: callers }],
    random: xoroshiro128plus(1),
    name: call.id,
    kinds: [call.kind],
    ...(call.body === undefined ? {} : { body: call.body }),
    most: 1,
    isIn: () => true,
    isOver: () => false,
    saw: (seen) => all.push(seen),
  });
  const [seen] = all;
  if (!seen) throw new Error(`Nothing was seen of "${call.id}"`);
  return seen;
}

/** The balancer's check of one host. */
export async function checkReadiness(host: FleetHost): Promise<void> {
  const answer = await ask(host.readiness, "/readiness");
  host.misses = answer?.status === 200 ? 0 : host.misses + 1;
}

/** Whether the balancer gives the host new connections. */
export function isIn(host: FleetHost): boolean {
  return host.misses < MISSES_OUT;
}

/** The version of the routes in force at a host. */
export function versionAt(host: FleetHost): Promise<number | undefined> {
  return gaugeAt(host, "routes_version");
}

/** A gauge of a host's metrics that is a whole number. */
export async function gaugeAt(
  host: FleetHost,
  name: string,
): Promise<number | undefined> {
  const answer = await ask(host.metrics, "/metrics");
  const line = new RegExp(`^otterhill_${name} (\\d+)$`, "m");
  const found = line.exec(answer?.body ?? "");
  return found ? Number(found[1]) : undefined;
}

function ask(
  address: string,
  path: string,
): Promise<{ status: number; body: string } | undefined> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sending = request({ host, port, path, agent: false });
    sending.setTimeout(CHECK_TIMEOUT_MS, () => sending.destroy());
    sending.on("error", () => resolve(undefined));
    sending.on("close", () => resolve(undefined));
    sending.on("response", (answer) => {
      let body = "";
      answer.on("error", () => resolve(undefined));
      answer.on("data", (bytes: Buffer) => body += bytes.toString());
      answer.on("end", () => resolve({ status: answer.statusCode ?? 0, body }));
    });
    sending.end();
  });
}
