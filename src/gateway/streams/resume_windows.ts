/** For how long the streams of each service may be resumed, by its routes. */
import type { Milliseconds } from "../../util/units.ts";
import type { RouteConfig } from "../routing/model.ts";
import type { RouteTable } from "../routing/route_table.ts";

/** The longest timeout of the resumable routes to each service. */
export class ResumeWindows {
  readonly #routes: Pick<RouteTable, "config">;
  #config: RouteConfig | undefined;
  #windows = new Map<string, Milliseconds>();

  constructor(routes: Pick<RouteTable, "config">) {
    this.#routes = routes;
  }

  /** Time after which no stream of the service is resumed; 0 if none is. */
  of(service: string): Milliseconds {
    const { config } = this.#routes;
    if (config !== this.#config) {
      this.#config = config;
      this.#windows = windowsOf(config);
    }
    return this.#windows.get(service) ?? 0;
  }
}

function windowsOf(config: RouteConfig | undefined): Map<string, Milliseconds> {
  const windows = new Map<string, Milliseconds>();
  for (const { resumable, timeoutMs, targets } of config?.routes ?? []) {
    if (!resumable) continue;
    for (const { service } of targets) {
      windows.set(service, Math.max(windows.get(service) ?? 0, timeoutMs));
    }
  }
  return windows;
}
