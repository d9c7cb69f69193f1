/** The listening addresses of a host, and its servers for the platform. */
import { createServer, type Server } from "node:http";
import type { GatewaySettings } from "../settings/gateway.ts";
import type { GatewayContext } from "./context.ts";
import { Listener } from "./listener.ts";

/** The addresses of a host. */
type ListenerName = keyof GatewaySettings["listen"];

/** A host serves without its metrics. */
const REQUIRED: readonly string[] = ["callers", "readiness", "peers"];
/** Where requests of callers and other hosts arrive. */
const SERVING: readonly string[] = ["callers", "peers"];

/** Opens the addresses of the settings, each by itself. */
export function openListeners(
  servers: Readonly<Record<ListenerName, Server>>,
  { context, addresses }: {
    readonly context: GatewayContext;
    readonly addresses: GatewaySettings["listen"];
  },
): Listener[] {
  const { clock, events, metrics, stop } = context;
  const isStopping = () => stop.requestedAt !== undefined;
  const shared = { clock, events, metrics, isStopping };
  const names: readonly ListenerName[] = [
    "peers",
    "callers",
    "readiness",
    "metrics",
  ];
  return names.flatMap((name) => {
    const address = addresses[name];
    if (address === undefined) return [];
    return [new Listener(servers[name], { ...shared, name, address })];
  });
}

/** Resolves once all addresses are open that a host needs. */
export async function whenListening(
  listeners: readonly Listener[],
): Promise<void> {
  const required = listeners.filter(({ name }) => REQUIRED.includes(name));
  await Promise.all(required.map((listener) => listener.opened));
}

/** Whether requests of callers and of other hosts can arrive. */
export function isServing(listeners: readonly Listener[]): boolean {
  const serving = listeners.filter(({ name }) => SERVING.includes(name));
  return serving.length > 0 && serving.every((listener) => listener.isOpen);
}

/** Creates a server that responds with 200 while the host is ready. */
export function createReadinessServer(isReady: () => boolean): Server {
  return createServer((request, response) => {
    request.resume();
    response.writeHead(isReady() ? 200 : 503);
    response.end();
  });
}

/** Creates a server that responds with the page of the metrics. */
export function createMetricsServer(render: () => string): Server {
  return createServer((request, response) => {
    request.resume();
    const page = render();
    response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
    response.end(page);
  });
}
