/** Puts the parts of a gateway together and listens. */
import { createServer, type Server } from "node:http";
import type { Milliseconds } from "../util/units.ts";
import type { GatewaySettings } from "../settings/mod.ts";
import { parseAddress } from "../util/address.ts";
import { CallerServer } from "./callers/server.ts";
import { sleep, systemClock } from "./clock.ts";
import type { GatewayContext } from "./context.ts";
import {
  budgetOf,
  crashRuleOf,
  createContext,
  tuningOf,
} from "./create_context.ts";
import { Customers } from "./customers/customers.ts";
import { HostDirectory } from "./peers/directory.ts";
import { openLink } from "./peers/link.ts";
import { createPeerServer } from "./peers/server.ts";
import type { HostEntry, PlatformPort } from "./port.ts";
import { Places } from "./planning/places.ts";
import { PlanService } from "./planning/plan_service.ts";
import { revisionOf } from "./position.ts";
import { SettingsState } from "./settings_state.ts";
import { FleetState } from "./state/fleet_state.ts";
import type { StoreTimes } from "./state/store_loops.ts";
import { runStageLoop } from "./stages/stage_loop.ts";
import { createJsonClient } from "./upstreams/json_client.ts";

/** The balancer has surely left this long after the first refused check. */
const LEAVE_MS = 3200;
/** Kept back from the grace for the exit itself. */
const EXIT_MARGIN_MS = 500;
/** Lets the last log lines leave. */
const LAST_LINES_MS = 50;
/** A tick that comes so late means that the process stood still. */
const STOOD_STILL_MS = 1000;
const TICK_MS = 1000;

/** A gateway that serves. */
export type RunningGateway = {
  /** Takes no new work, finishes what it has, then resolves. */
  stop(): Promise<void>;
  /** Puts changed settings in force; addresses stay until a restart. */
  reload(settings: GatewaySettings, cause: string): void;
  /** Changed settings can't be used. */
  noteFault(fault: string): void;
};

/** Starts a gateway over a platform. */
export async function startGateway(
  settings: GatewaySettings,
  port: PlatformPort,
): Promise<RunningGateway> {
  const gateway = new Gateway(settings, port);
  await gateway.listen();
  return gateway;
}

function storeTimesOf({ store }: GatewaySettings): StoreTimes {
  const { list_interval, timeout, watch } = store;
  return { listMs: list_interval, timeoutMs: timeout, watchMs: watch };
}

class Gateway implements RunningGateway {
  readonly #settings: GatewaySettings;
  readonly #self: HostEntry;
  readonly #context: GatewayContext;
  readonly #plans: PlanService;
  readonly #places: Places;
  readonly #callers: CallerServer;
  readonly #state: FleetState;
  readonly #directory: HostDirectory;
  readonly #peers: Server;
  readonly #servers: Server[] = [];
  readonly #customers: Customers;
  readonly #settingsState: SettingsState;

  constructor(settings: GatewaySettings, port: PlatformPort) {
    this.#settings = settings;
    const { host, listen } = settings;
    this.#settingsState = new SettingsState(settings, systemClock.now());
    const address = host.peer_address ?? listen.peers;
    const self = { id: host.id, address, hall: host.hall };
    const directory = new HostDirectory(self, settings.seeds);
    const context = createContext(settings, port, directory);
    const configAgeMs = (now: Milliseconds) => {
      context.suspensions.check();
      return this.#state.configAgeMs(now);
    };
    this.#self = self;
    this.#directory = directory;
    this.#context = context;
    this.#plans = new PlanService(context);
    this.#places = new Places(context, this.#plans, () => directory.entries());
    this.#customers = new Customers({
      context,
      directory,
      settings: settings.customers,
      configAgeMs,
    });
    this.#callers = new CallerServer({
      context,
      places: this.#places,
      admission: this.#customers.admission,
      quotas: this.#customers.quotas,
    });
    this.#state = new FleetState({
      context,
      self,
      directory,
      store: port.store,
      times: storeTimesOf(settings),
      openLink,
      createClient: (address) => createJsonClient(address, context.clock),
      onConfig: (config) => this.#callers.applyLimits(config.limits),
    });
    this.#peers = this.#createPeers();
    this.#startStages(port);
  }

  #createPeers(): Server {
    return createPeerServer({
      context: this.#context,
      self: this.#self,
      directory: this.#directory,
      plans: this.#plans,
      states: this.#state.server,
      quotas: this.#customers.owner,
      limits: this.#context.limits.owner,
      configAgeMs: (now) => this.#state.configAgeMs(now),
    });
  }

  #startStages({ store }: PlatformPort): void {
    const { host, stages } = this.#settings;
    void runStageLoop({
      context: this.#context,
      store,
      holder: host.id,
      guardMs: stages.guard,
      prefillShare: stages.prefill_share,
      storeAgeMs: (now) => this.#state.storeAgeMs(now),
      plannerOf: (service) => this.#places.plannerOf(service),
      loadOf: (service) => this.#plans.loadOf(service),
      changing: this.#plans.changing,
    });
  }

  async listen(): Promise<void> {
    const { listen } = this.#settings;
    this.#state.start();
    const readiness = createServer((request, response) => {
      request.resume();
      response.writeHead(this.#ready() ? 200 : 503);
      response.end();
    });
    await this.#listenOn(this.#callers.server, listen.callers);
    await this.#listenOn(readiness, listen.readiness);
    await this.#listenOn(this.#peers, listen.peers);
    if (listen.metrics !== undefined) {
      await this.#listenOn(this.#metricsServer(), listen.metrics);
    }
    this.#context.events.note("started", {
      callers: listen.callers,
      settings: this.#settingsState.version,
    });
    this.#tick();
  }

  reload(settings: GatewaySettings, cause: string): void {
    this.#context.tuning = tuningOf(settings);
    this.#context.budget.change(budgetOf(settings));
    this.#context.crashes.change(crashRuleOf(settings));
    this.#context.stop.graceMs = settings.grace;
    this.#customers.change(settings.customers);
    const before = this.#settingsState.version;
    this.#settingsState.loaded(settings, this.#context.clock.now());
    const { version } = this.#settingsState;
    this.#context.events.note("reloaded", { cause, settings: version, before });
  }

  noteFault(fault: string): void {
    this.#settingsState.refused();
    const { version } = this.#settingsState;
    this.#context.events.note("reloadRefused", { fault, settings: version });
  }

  async stop(): Promise<void> {
    const { clock, events, stop, pool } = this.#context;
    const askedAt = clock.now();
    stop.askedAt = askedAt;
    events.note("stopping", { open: this.#callers.open });
    const lastAt = askedAt + stop.graceMs - EXIT_MARGIN_MS;
    await sleep(clock, LEAVE_MS);
    await this.#callers.finish(clock, lastAt);
    for (const server of this.#servers) server.close();
    this.#state.stop();
    pool.close();
    events.note("stopped", { open: this.#callers.open });
    await sleep(clock, LAST_LINES_MS);
  }

  #ready(): boolean {
    const { stop, routes, replicas } = this.#context;
    if (stop.askedAt !== undefined) return false;
    return routes.config !== undefined && replicas.revision >= 0;
  }

  #metricsServer(): Server {
    return createServer((request, response) => {
      request.resume();
      const { metrics, routes, replicas, clock, crashes, eras, limits, gate } =
        this.#context;
      const age = this.#state.storeAgeMs(clock.now());
      const configAge = this.#state.configAgeMs(clock.now());
      const gauges = {
        ...this.#settingsState.gauges(clock.now()),
        requests_open: this.#callers.open,
        quota_customers: this.#customers.owner.size,
        memory_waits: this.#plans.waiting,
        routes_version: routes.version,
        replicas_revision: revisionOf(replicas.revision),
        store_era: eras.era,
        hosts_known: this.#directory.count,
        crash_suspects: crashes.suspects,
        crash_quarantined: crashes.quarantined,
        replicas_limited: limits.limited,
        replicas_backing_off: gate.backingOff,
        config_age_seconds: Number.isFinite(configAge) ? configAge / 1000 : -1,
        store_age_seconds: Number.isFinite(age) ? age / 1000 : -1,
        resident_bytes: process.memoryUsage.rss(),
      };
      const info = { settings: this.#settingsState.version };
      const page = metrics.page(gauges, info);
      response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
      response.end(page);
    });
  }

  #tick(): void {
    const { clock, events, suspensions } = this.#context;
    const before = clock.now();
    clock.after(TICK_MS, () => {
      suspensions.check();
      const late = clock.now() - before - TICK_MS;
      if (late > STOOD_STILL_MS) {
        events.note("stoodStill", { for_ms: Math.round(late) });
      }
      this.#linkPlanners();
      this.#customers.link();
      this.#context.limits.link();
      this.#tick();
    });
  }

  /** Links to planners stand before the first request needs them. */
  #linkPlanners(): void {
    for (const service of this.#context.routes.config?.services ?? []) {
      this.#places.plannerOf(service.name);
    }
  }

  #listenOn(server: Server, address: string): Promise<void> {
    const place = parseAddress(address);
    this.#servers.push(server);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(place?.port, place?.host, () => resolve());
    });
  }
}
