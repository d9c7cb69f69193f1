/** The gateways of a soak, with fault proxies on their network paths. */
import { request } from "node:http";
import { xoroshiro128plus } from "pure-rand";
import { type CallKind, type CallResult } from "./call.ts";
import { type CallerHost, runCaller } from "./callers.ts";
import { type FaultProxy, startFaultProxy } from "./fault_proxy.ts";
import { GatewayProcess } from "./gateway_process.ts";
import type { HostMemory } from "./peak_memory.ts";
import { ProcessorLimit } from "./processor_limit.ts";
import { rendezvous } from "../../src/util/rendezvous.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";
import { HALLS, SERVICES } from "./world.ts";
import { freeAddress } from "../free_address.ts";

/** A gateway process, its addresses and its proxies. */
export type FleetHost = {
  readonly process: GatewayProcess;
  readonly callers: string;
  readonly readiness: string;
  readonly metrics: string;
  readonly peers: string;
  /** From this host to the store. */
  readonly storeProxy: FaultProxy;
  /** From other hosts to this one. */
  readonly peerProxy: FaultProxy;
  /** Consecutive failed readiness checks. */
  failedChecks: number;
};

/** Failed checks after which the load balancer sends no new connections. */
const FAILED_CHECKS_LIMIT = 2;
const CHECK_TIMEOUT_MS = 400;

/** Creates hosts without starting their processes. */
export async function createHosts(
  count: number,
  options: {
    readonly folder: string;
    readonly storeAddress: string;
    /** Switches on all optional decisions under load. */
    readonly isScheduled?: boolean;
    /** The memory limit of each host. */
    readonly memoryMb?: number | undefined;
  },
): Promise<FleetHost[]> {
  const endpoints = await Promise.all(
    Array.from({ length: count }, () => createEndpoints(options.storeAddress)),
  );
  const seeds = endpoints.slice(0, 3).map((host) => host.peerProxy.address);
  return endpoints.map((hostEndpoints, at) => {
    const name = `host-${at + 1}`;
    const hall = HALLS[at % HALLS.length] ?? HALLS[0];
    const settings = settingsText(hostEndpoints, { name, hall, seeds }) +
      memorySettings(options) +
      (options.isScheduled ? SCHEDULING_SETTINGS : "");
    const process = new GatewayProcess({
      name,
      folder: options.folder,
      settings,
      ...(options.memoryMb !== undefined && { maxHeapMb: MAX_HEAP_MB }),
    });
    return { ...hostEndpoints, process, failedChecks: FAILED_CHECKS_LIMIT };
  });
}

type HostEndpoints = Omit<FleetHost, "process" | "failedChecks">;

async function createEndpoints(storeAddress: string): Promise<HostEndpoints> {
  const [callers, readiness, metrics, peers] = await Promise.all([
    freeAddress(),
    freeAddress(),
    freeAddress(),
    freeAddress(),
  ]);
  return {
    callers,
    readiness,
    metrics,
    peers,
    storeProxy: await startFaultProxy(storeAddress),
    peerProxy: await startFaultProxy(peers),
  };
}

/** Switches on all optional decisions under load. */
const SCHEDULING_SETTINGS = `
[scheduling]
replica_rates = true
measured_split = true
arrival_decisions = true
booked_returns = true
customer_shares = true
`;

/** So little that callers' bytes fill it. */
const SCARCE_MEMORY_MB = 96;
/** As in deploy/system.toml. */
const MAX_HEAP_MB = 90;

function memorySettings(
  { isScheduled = false, memoryMb }: {
    readonly isScheduled?: boolean;
    readonly memoryMb?: number | undefined;
  },
): string {
  const processMb = memoryMb ?? (isScheduled ? SCARCE_MEMORY_MB : undefined);
  if (processMb === undefined) return "";
  return `
[memory]
process = "${processMb}MB"
${isScheduled ? 'unread_timeout = "1s"' : ""}
`;
}

/** The host that a fault affects. */
export function targetHost(
  hosts: readonly FleetHost[],
  { kind, target }: Fault,
): FleetHost {
  const names = hosts.map((host) => host.process.name);
  const service = SERVICES[target % SERVICES.length] ?? SERVICES[0];
  const [planner] = rendezvous(service, names);
  const host = kind === FaultKind.plannerKill
    ? hosts.find(({ process }) => process.name === planner)
    : hosts[target % hosts.length];
  if (!host) throw new Error("The fleet has no hosts");
  return host;
}

function settingsText(
  endpoints: HostEndpoints,
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
peer_address = "${endpoints.peerProxy.address}"
[listen]
callers = "${endpoints.callers}"
readiness = "${endpoints.readiness}"
metrics = "${endpoints.metrics}"
peers = "${endpoints.peers}"
[store]
address = "${endpoints.storeProxy.address}"
[retries]
extra = 50
`;
}

/** Stops the processes, suspended ones too, and their proxies. */
export async function stopHosts(hosts: readonly FleetHost[]): Promise<void> {
  for (const { process, storeProxy, peerProxy } of hosts) {
    process.resume();
    await process.kill();
    storeProxy.stop();
    peerProxy.stop();
  }
}

/** Sends one request to a host and waits for its result. */
export async function callHost(
  { process, callers }: FleetHost,
  call: {
    readonly id: string;
    readonly kind: CallKind;
    readonly body?: string;
    readonly promptParts?: readonly string[];
  },
): Promise<CallResult> {
  const results: CallResult[] = [];
  await runCaller({
    hosts: [{ name: process.name, address: callers }],
    random: xoroshiro128plus(1),
    name: call.id,
    kinds: [call.kind],
    ...(call.body === undefined ? {} : { body: call.body }),
    ...(call.promptParts && { promptParts: call.promptParts }),
    maxRequests: 1,
    isInRotation: () => true,
    isStopped: () => false,
    onResult: (result) => results.push(result),
  });
  const [result] = results;
  if (!result) throw new Error(`The caller sent no request "${call.id}"`);
  return result;
}

/** The hosts as their callers know them. */
export function callerHosts(hosts: readonly FleetHost[]): CallerHost[] {
  return hosts.map(({ process: { name }, callers: address }) => ({
    name,
    address,
  }));
}

/** The memory that hosts have used at most; empty without a limit. */
export function memoryOf(
  hosts: readonly FleetHost[],
  limitMb: number | undefined,
): HostMemory[] {
  if (limitMb === undefined) return [];
  return hosts.map(({ process: { name: host, peakMemoryMb: peakMb } }) => ({
    host,
    peakMb,
    limitMb,
  }));
}

/** Limits the processor time of all hosts to a share of a core each. */
export function limitHosts(
  hosts: readonly FleetHost[],
  share: number,
): ProcessorLimit {
  return new ProcessorLimit(
    hosts.map(({ process: { pid } }) => ({ pid, share })),
  );
}

/** Runs the load balancer's readiness check of one host. */
export async function checkReadiness(host: FleetHost): Promise<void> {
  const response = await get(host.readiness, "/readiness");
  host.failedChecks = response?.status === 200 ? 0 : host.failedChecks + 1;
}

/** Whether the load balancer sends new connections to the host. */
export function isInRotation(host: FleetHost): boolean {
  return host.failedChecks < FAILED_CHECKS_LIMIT;
}

/** Reads the version of the routes that a host uses. */
export function readRoutesVersion(
  host: FleetHost,
): Promise<number | undefined> {
  return readGauge(host, "routes_version");
}

/** Reads a gauge with an integer value from a host's metrics. */
export async function readGauge(
  host: FleetHost,
  name: string,
): Promise<number | undefined> {
  const response = await get(host.metrics, "/metrics");
  const line = new RegExp(`^otterhill_${name} (\\d+)$`, "m");
  const match = line.exec(response?.body ?? "");
  return match ? Number(match[1]) : undefined;
}

/** Reads the lines of a host's metrics page that match. */
export async function readMetric(
  host: FleetHost,
  pattern: RegExp,
): Promise<string[]> {
  const response = await get(host.metrics, "/metrics");
  const lines = (response?.body ?? "").split("\n");
  return lines.filter((line) => !line.startsWith("#") && pattern.test(line));
}

function get(
  address: string,
  path: string,
): Promise<{ status: number; body: string } | undefined> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path, agent: false });
    outgoing.setTimeout(CHECK_TIMEOUT_MS, () => outgoing.destroy());
    outgoing.on("error", () => resolve(undefined));
    outgoing.on("close", () => resolve(undefined));
    outgoing.on("response", (response) => {
      let body = "";
      response.on("error", () => resolve(undefined));
      response.on("data", (bytes: Buffer) => body += bytes.toString());
      response.on(
        "end",
        () => resolve({ status: response.statusCode ?? 0, body }),
      );
    });
    outgoing.end();
  });
}
