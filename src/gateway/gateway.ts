/** Assembles a gateway and starts its servers. */
import type { Server } from "node:http";
import type { Milliseconds } from "../util/units.ts";
import type { GatewaySettings } from "../settings/mod.ts";
import { beginStop } from "./begin_stop.ts";
import { CallerServer } from "./callers/server.ts";
import { sleep, systemClock } from "./clock.ts";
import type { GatewayContext } from "./context.ts";
import { drainHost } from "./drain_host.ts";
import {
  crashRuleOf,
  createContext,
  retryBudgetRuleOf,
  tuningOf,
} from "./create_context.ts";
import { Customers } from "./customers/customers.ts";
import { callerBytesOf } from "./memory/byte_budget.ts";
import { startMaintenance } from "./maintenance.ts";
import { renderMetrics } from "./metrics_page.ts";
import { followIterations } from "./load/follow_iterations.ts";
import {
  createMetricsServer,
  createReadinessServer,
  isServing,
  openListeners,
  whenListening,
} from "./host_listeners.ts";
import type { Listener } from "./listener.ts";
import { HostDirectory } from "./peers/directory.ts";
import { openLink } from "./peers/link.ts";
import { PeerConnections } from "./peers/peer_connections.ts";
import { createPeerServer } from "./peers/server.ts";
import { createTunnelServer } from "./paths/create_tunnel_server.ts";
import type { TunnelServer } from "./paths/tunnel_server.ts";
import { hostEntryOf } from "./host_entry.ts";
import { keepRunning } from "./keep_running.ts";
import type { HostEntry, PlatformPort } from "./port.ts";
import { LineWriter } from "./observe/line_writer.ts";
import { PlannerClient } from "./planning/planner_client.ts";
import { PlanService } from "./planning/plan_service.ts";
import type { CreatedGateway, RunningGateway } from "./running_gateway.ts";
import { SettingsState } from "./settings_state.ts";
import { FleetState } from "./state/fleet_state.ts";
import type { StoreTimes } from "./state/store_times.ts";
import type { SplitDecision } from "./stages/measured_balance.ts";
import { runStageLoop, type StageLoopOptions } from "./stages/stage_loop.ts";
import { noteUnexpectedError } from "./unexpected_errors.ts";
import { type Connect, tcpConnect } from "./upstreams/connect.ts";
import { createJsonClient } from "./upstreams/json_client.ts";

/** Time for a reader of the log to read the last lines. */
const LOG_FLUSH_MS: Milliseconds = 200;

/** Options of {@link createGateway}. */
export type GatewayOptions = {
  /** Opens connections to replicas; over TCP by default. */
  readonly connect?: Connect | undefined;
};

/** Creates a gateway on a platform. */
export function createGateway(
  settings: GatewaySettings,
  port: PlatformPort,
  { connect = tcpConnect }: GatewayOptions = {},
): CreatedGateway {
  return new Gateway(settings, port, connect);
}

/** Creates a gateway and waits until it listens. */
export async function startGateway(
  settings: GatewaySettings,
  port: PlatformPort,
  options: GatewayOptions = {},
): Promise<RunningGateway> {
  const gateway = createGateway(settings, port, options);
  await gateway.listen();
  return gateway;
}

function storeTimesOf({ store }: GatewaySettings): StoreTimes {
  const { list_interval, timeout, watch } = store;
  return { listMs: list_interval, timeoutMs: timeout, watchMs: watch };
}

class Gateway implements CreatedGateway {
  readonly #settings: GatewaySettings;
  readonly #self: HostEntry;
  readonly #context: GatewayContext;
  readonly #planService: PlanService;
  readonly #plannerClient: PlannerClient;
  readonly #callerServer: CallerServer;
  readonly #fleetState: FleetState;
  readonly #directory: HostDirectory;
  readonly #connections = new PeerConnections((address) =>
    createJsonClient(address, systemClock)
  );
  readonly #peerServer: Server;
  readonly #servers: Listener[] = [];
  readonly #customers: Customers;
  readonly #tunnels: TunnelServer;
  readonly #settingsState: SettingsState;
  readonly #splits = new Map<string, SplitDecision>();
  readonly #logWriter = new LineWriter();
  #unwatchIterations = () => {};

  constructor(
    settings: GatewaySettings,
    port: PlatformPort,
    connect: Connect,
  ) {
    this.#settings = settings;
    this.#settingsState = new SettingsState(settings, systemClock.now());
    const self = this.#self = hostEntryOf(settings);
    const directory = new HostDirectory(self, settings.seeds);
    const context = createContext(settings, port, {
      self,
      directory,
      connections: this.#connections,
      connect,
      logWriter: this.#logWriter,
      listingAgeMs: () => this.#fleetState.listingAgeMs,
      confirmListing: () => this.#fleetState.confirmListing(),
    });
    const configAgeMs = (now: Milliseconds) => {
      context.suspensions.check();
      return this.#fleetState.configAgeMs(now);
    };
    this.#directory = directory;
    this.#context = context;
    this.#planService = new PlanService(context);
    this.#plannerClient = new PlannerClient(
      context,
      this.#planService,
      () => directory.entries(),
    );
    this.#customers = new Customers({
      context,
      directory,
      settings: settings.customers,
      configAgeMs,
    });
    this.#callerServer = new CallerServer({
      context,
      planner: this.#plannerClient,
      admission: this.#customers.admission,
      quotas: this.#customers.quotas,
    });
    this.#tunnels = createTunnelServer(context);
    this.#fleetState = new FleetState({
      context,
      self,
      directory,
      store: port.store,
      times: storeTimesOf(settings),
      openLink: (target, events) =>
        openLink({ ...target, metrics: context.metrics }, events),
      connections: this.#connections,
      onConfig: (config) => this.#callerServer.applyLimits(config.limits),
    });
    this.#peerServer = this.#createPeerServer();
    this.#startStageLoop(port);
    this.#planService.startMemoryReports((service) =>
      this.#plannerClient.plannerOf(service)
    );
  }

  #createPeerServer(): Server {
    return createPeerServer({
      context: this.#context,
      self: this.#self,
      directory: this.#directory,
      plans: this.#planService,
      states: this.#fleetState.server,
      quotas: this.#customers.owner,
      limits: this.#context.limits.owner,
      tunnels: this.#tunnels,
      configAgeMs: (now) => this.#fleetState.configAgeMs(now),
    });
  }

  #startStageLoop({ store }: PlatformPort): void {
    const { host, stages } = this.#settings;
    const options: StageLoopOptions = {
      context: this.#context,
      store,
      holder: host.id,
      guardMs: stages.guard,
      prefillShare: stages.prefill_share,
      storeAgeMs: (now) => this.#fleetState.storeAgeMs(now),
      plannerOf: (service) => this.#plannerClient.plannerOf(service),
      loadOf: (service) => this.#planService.loadOf(service),
      meter: this.#planService.stageMeter,
      splits: this.#splits,
      changing: this.#planService.changing,
    };
    void keepRunning(() => runStageLoop(options), this.#context);
  }

  async listen(): Promise<void> {
    this.#fleetState.start();
    const servers = {
      peers: this.#peerServer,
      callers: this.#callerServer.server,
      readiness: createReadinessServer(() => this.#isReady()),
      metrics: createMetricsServer(() => this.#renderMetrics()),
    };
    const { listen: addresses } = this.#settings;
    const context = this.#context;
    this.#servers.push(...openListeners(servers, { context, addresses }));
    this.#unwatchIterations = followIterations(
      this.#context,
      (now, busyMs) => this.#callerServer.iterationEnded(now, busyMs),
    );
    startMaintenance(this.#context, () => this.#maintain());
    await whenListening(this.#servers);
    this.#context.events.note("started", {
      callers: addresses.callers,
      settings: this.#settingsState.version,
    });
  }

  reload(settings: GatewaySettings, cause: string): void {
    this.#context.tuning = tuningOf(settings);
    this.#context.retryBudget.setRule(retryBudgetRuleOf(settings));
    this.#context.crashes.setRule(crashRuleOf(settings));
    this.#context.heldBytes.setCapacity(callerBytesOf(settings.memory.process));
    // The process is killed by the grace period that held at its signal.
    const { stop } = this.#context;
    if (stop.requestedAt === undefined) stop.graceMs = settings.grace;
    this.#customers.applySettings(settings.customers);
    const before = this.#settingsState.version;
    this.#settingsState.noteLoaded(settings, this.#context.clock.now());
    const { version } = this.#settingsState;
    this.#context.events.note("reloaded", { cause, settings: version, before });
  }

  noteFault(fault: string): void {
    this.#settingsState.noteRefused();
    const { version } = this.#settingsState;
    this.#context.events.note("reloadRefused", { fault, settings: version });
  }

  noteUnexpectedError(error: unknown, origin: string): void {
    noteUnexpectedError(this.#context, { error, origin });
  }

  async stop(): Promise<void> {
    const { clock, events, pool, streams } = this.#context;
    const { deadline, waitedMs } = beginStop(this.#context);
    events.note("stopping", {
      open: this.#callerServer.openRequestCount,
      waited_ms: Math.round(waitedMs),
    });
    const drained = await drainHost({
      clock,
      deadline,
      callers: this.#callerServer,
      tunnels: this.#tunnels,
    });
    for (const server of this.#servers) server.close();
    this.#tunnels.close();
    this.#fleetState.stop();
    pool.close();
    streams.close();
    this.#connections.close();
    this.#unwatchIterations();
    events.note("stopped", drained);
    await Promise.race([
      this.#logWriter.flushed(),
      sleep(clock, LOG_FLUSH_MS),
    ]);
  }

  #isReady(): boolean {
    const { stop, routes, replicas } = this.#context;
    if (stop.requestedAt !== undefined) return false;
    if (!isServing(this.#servers)) return false;
    return routes.config !== undefined && replicas.revision >= 0;
  }

  #renderMetrics(): string {
    return renderMetrics(this.#context, {
      settingsState: this.#settingsState,
      splits: [...this.#splits.values()],
      openRequests: this.#callerServer.openRequestCount,
      callerConnections: this.#callerServer.connectionCount,
      quotaCustomers: this.#customers.owner.size,
      planService: this.#planService,
      fleetState: this.#fleetState,
      tunnels: this.#tunnels,
    });
  }

  #maintain(): void {
    this.#openPlannerLinks();
    this.#customers.maintain();
    this.#context.limits.maintainLinks();
    this.#context.streams.maintain();
    this.#connections.retain(this.#directory.addresses());
  }

  /** Opens the links to planners before the first request needs them. */
  #openPlannerLinks(): void {
    for (const service of this.#context.routes.config?.services ?? []) {
      this.#plannerClient.plannerOf(service.name);
    }
  }
}
