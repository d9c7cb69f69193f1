/** The active configuration. Its version never decreases during a process. */
import murmurhash from "murmurhash";
import { CustomerTable } from "../customers/customer_table.ts";
import type { RequestMetadata } from "../port.ts";
import type { Route, RouteConfig, Service, Target } from "./model.ts";

/**
 * Looks up routes, services and customers in the newest configuration received.
 */
export class RouteTable {
  #config: RouteConfig | undefined;
  #routesByHost = new Map<string, Route[]>();
  #services = new Map<string, Service>();
  #customers: CustomerTable | undefined;
  #announcedVersion = 0;

  /** The active configuration; undefined before the first. */
  get config(): RouteConfig | undefined {
    return this.#config;
  }

  /** The active version; 0 before the first. */
  get version(): number {
    return this.#config?.version ?? 0;
  }

  /** The newest version announced to or adopted by this host. */
  get newestVersion(): number {
    return Math.max(this.#announcedVersion, this.version);
  }

  /** Whether a newer configuration than the active one has been announced. */
  get isBehind(): boolean {
    return this.newestVersion > this.version;
  }

  /** Records an announced version; returns whether it is the newest so far. */
  noteVersion(version: number): boolean {
    const isNew = version > this.newestVersion;
    this.#announcedVersion = Math.max(this.#announcedVersion, version);
    return isNew;
  }

  /**
   * The customers of the active configuration; undefined if no keys are
   * required.
   */
  get customers(): CustomerTable | undefined {
    return this.#customers;
  }

  /** Adopts a configuration if it is newer; returns whether it was adopted. */
  adopt(config: RouteConfig): boolean {
    if (this.#config && config.version <= this.#config.version) return false;
    this.#config = config;
    this.#services = new Map(
      config.services.map((service) => [service.name, service]),
    );
    this.#routesByHost = routesByHost(config.routes);
    this.#customers = config.customers && new CustomerTable(config.customers);
    return true;
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** The route with the longest prefix of the request's path. */
  match(hostHeader: string, target: string): Route | undefined {
    const routes = this.#routesByHost.get(hostName(hostHeader));
    const path = pathOf(target);
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/** Routes by host, those with the longest prefix first. */
function routesByHost(routes: readonly Route[]): Map<string, Route[]> {
  const table = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const list = table.get(host);
    if (list) list.push(route);
    else table.set(host, [route]);
  }
  for (const hostRoutes of table.values()) {
    hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return table;
}

function hostName(header: string): string {
  const colon = header.lastIndexOf(":");
  const hasPort = colon >= 0 && /^\d+$/.test(header.slice(colon + 1));
  return (hasPort ? header.slice(0, colon) : header).toLowerCase();
}

function pathOf(target: string): string {
  const queryAt = target.indexOf("?");
  return queryAt < 0 ? target : target.slice(0, queryAt);
}

const HASH_RANGE = 2 ** 32;

/**
 * The chance by which the service of a request is picked. All attempts at one
 * resumable stream get the same one, at any host: another service can't
 * continue it.
 */
export function targetChance(
  { resumable }: Route,
  { id, lastEventId, resumes }: RequestMetadata,
  random: () => number,
): number {
  const stream = lastEventId === undefined ? id : resumes ?? id;
  if (!resumable || stream === undefined) return random();
  return murmurhash.v3(stream) / HASH_RANGE;
}

/** Picks the service for a request by weight; `chance` is in [0, 1). */
export function pickTarget(
  targets: readonly Target[],
  chance: number,
): string | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = chance * total;
  for (const target of targets) {
    if (target.weight <= 0) continue;
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return targets.findLast((target) => target.weight > 0)?.service;
}
