/** The routes in force: versions only rise in the life of a process. */
import { CustomerTable } from "../customers/customer_table.ts";
import type { Route, RouteConfig, Service, Target } from "./model.ts";

/** The newest configuration seen, with what is needed to look routes up. */
export class RouteTable {
  #config: RouteConfig | undefined;
  #byHost = new Map<string, Route[]>();
  #services = new Map<string, Service>();
  #customers: CustomerTable | undefined;
  #heardVersion = 0;

  /** The configuration in force; undefined before the first. */
  get config(): RouteConfig | undefined {
    return this.#config;
  }

  /** The version in force; 0 before the first. */
  get version(): number {
    return this.#config?.version ?? 0;
  }

  /** The newest version that this host has heard of. */
  get newestVersion(): number {
    return Math.max(this.#heardVersion, this.version);
  }

  /** There is a newer configuration than the one in force here. */
  get isBehind(): boolean {
    return this.newestVersion > this.version;
  }

  /** There is such a version; says whether that is news. */
  noteVersion(version: number): boolean {
    const isNews = version > this.newestVersion;
    this.#heardVersion = Math.max(this.#heardVersion, version);
    return isNews;
  }

  /** The customers in force; undefined where no keys are asked for. */
  get customers(): CustomerTable | undefined {
    return this.#customers;
  }

  /** Takes a configuration if it is newer; says whether it was taken. */
  adopt(config: RouteConfig): boolean {
    if (this.#config && config.version <= this.#config.version) return false;
    this.#config = config;
    this.#services = new Map(config.services.map((one) => [one.name, one]));
    this.#byHost = byHost(config.routes);
    this.#customers = config.customers && new CustomerTable(config.customers);
    return true;
  }

  /** The service of that name. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** The route of a request: the longest prefix of its path. */
  match(hostHeader: string, target: string): Route | undefined {
    const routes = this.#byHost.get(hostName(hostHeader));
    const path = pathOf(target);
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/** Routes of each host, those with the longest prefix first. */
function byHost(routes: readonly Route[]): Map<string, Route[]> {
  const table = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const known = table.get(host);
    if (known) known.push(route);
    else table.set(host, [route]);
  }
  for (const list of table.values()) {
    list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return table;
}

function hostName(header: string): string {
  const colon = header.lastIndexOf(":");
  const port = colon >= 0 && /^\d+$/.test(header.slice(colon + 1));
  return (port ? header.slice(0, colon) : header).toLowerCase();
}

function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** The service that takes a request; `chance` is in [0, 1). */
export function pickTarget(
  targets: readonly Target[],
  chance: number,
): string | undefined {
  const total = targets.reduce((sum, one) => sum + one.weight, 0);
  let left = chance * total;
  for (const one of targets) {
    if (one.weight <= 0) continue;
    left -= one.weight;
    if (left < 0) return one.service;
  }
  return targets.findLast((one) => one.weight > 0)?.service;
}
