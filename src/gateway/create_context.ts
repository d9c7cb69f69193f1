/** Creates the shared state of a gateway from its settings. */
import {
  bootNow,
  loopIdleMs,
  monotonicNow,
  newIncarnation,
} from "../shell/clock.ts";
import { descriptorLimit } from "../shell/descriptor_limit.ts";
import type { GatewaySettings } from "../settings/mod.ts";
import type { Milliseconds } from "../util/units.ts";
import { callerConnectionsOf } from "./callers/connection_limit.ts";
import { type Clock, systemClock } from "./clock.ts";
import type { GatewayContext, GatewayTuning } from "./context.ts";
import { CrashWatch } from "./crashes/crash_watch.ts";
import type { CrashRule } from "./crashes/model.ts";
import { IterationMeter, type LoopTimes } from "./load/iteration_meter.ts";
import { LoopStalls } from "./load/loop_stalls.ts";
import { ByteBudget, callerBytesOf } from "./memory/byte_budget.ts";
import { type EventLog, openEventLog } from "./observe/event_log.ts";
import type { LineWriter } from "./observe/line_writer.ts";
import { Metrics } from "./observe/metrics.ts";
import { createElapsedClock } from "./elapsed_clock.ts";
import type { HostDirectory } from "./peers/directory.ts";
import { openLink } from "./peers/link.ts";
import { askProcess } from "./peers/process_report.ts";
import type { PeerConnections } from "./peers/peer_connections.ts";
import { createPaths, type ReplicaPaths } from "./paths/create_paths.ts";
import type { HostEntry, PlatformPort, Store } from "./port.ts";
import { isReplicaAlive, readReplicaId } from "./replicas/health_check.ts";
import { createReplicaState } from "./replicas/create_replica_state.ts";
import { type BudgetRule, RetryBudget } from "./retries/retry_budget.ts";
import { RouteTable } from "./routing/route_table.ts";
import { StoreEras } from "./state/store_eras.ts";
import { ResumeWindows } from "./streams/resume_windows.ts";
import { StreamVersions } from "./streams/stream_versions.ts";
import { SuspensionWatch } from "./suspension.ts";
import type { Connect } from "./upstreams/connect.ts";
import { createJsonClient } from "./upstreams/json_client.ts";
import { UpstreamPool } from "./upstreams/pool.ts";
import {
  StartChecks,
  type StartChecksOptions,
} from "./upstreams/start_check.ts";

const LOOP_TIMES: LoopTimes = { now: monotonicNow, idleMs: loopIdleMs };

/** This host among the others, and what connects it. */
export type FleetConnections = {
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly connections: Pick<PeerConnections, "call">;
  /** Opens connections to replicas. */
  readonly connect: Connect;
  /** Writes the log. */
  readonly logWriter: LineWriter;
  /** Age of the newest listing that this host knows. */
  readonly listingAgeMs: () => Milliseconds;
  /** As in {@link StreamVersionsOptions}. */
  readonly confirmListing: () => Promise<boolean>;
};

/** Creates the shared state and dependencies of one gateway. */
export function createContext(
  settings: GatewaySettings,
  port: PlatformPort,
  fleet: FleetConnections,
): GatewayContext {
  const { directory } = fleet;
  const { clock, suspensions } = createClocks();
  const events = eventLogOf(settings, clock, fleet.logWriter);
  logSleeps(suspensions, events);
  const metrics = new Metrics();
  const self = { ...fleet.self, run: String(newIncarnation()) };
  const replicaState = createReplicaState({
    self,
    clock,
    random: Math.random,
    events,
    metrics,
    directory,
    openLink: (target, events) => openLink({ ...target, metrics }, events),
  });
  const { replicas, gate } = replicaState;
  const known = { self, clock, events, metrics, replicas };
  const paths = createReplicaPaths(settings, fleet, known);
  const recorded = {
    clock,
    events,
    metrics,
    gate,
    pool: new UpstreamPool(clock, paths),
    dialect: port.dialect,
  };
  const shared = {
    ...recorded,
    replicas,
    paths,
    routes: new RouteTable(),
    starts: createStartChecks(recorded),
    ...loopState(clock),
  };
  return {
    ...shared,
    ...replicaState,
    self,
    suspensions,
    eras: new StoreEras(events),
    random: Math.random,
    retryBudget: new RetryBudget(retryBudgetRuleOf(settings), clock.now()),
    heldBytes: new ByteBudget(callerBytesOf(settings.memory.process)),
    crashes: createCrashWatch(settings, fleet, shared),
    streams: createStreamVersions(fleet, port.store, { ...shared, self }),
    tuning: tuningOf(settings),
    hostCount: () => directory.count,
    stop: { graceMs: settings.grace },
  };
}

function createReplicaPaths(
  { tuning }: GatewaySettings,
  { directory, connect }: FleetConnections,
  { replicas, ...known }: Pick<
    GatewayContext,
    "self" | "clock" | "events" | "metrics" | "replicas"
  >,
): ReplicaPaths {
  return createPaths({
    ...known,
    peers: () => directory.entries(),
    replicas: () => replicas.entries(),
    isListed: (incarnation) => replicas.get(incarnation) !== undefined,
    connect,
    connectTimeoutMs: tuning.connect_timeout,
  });
}

function createCrashWatch(
  settings: GatewaySettings,
  { connections, self }: FleetConnections,
  context: Pick<
    GatewayContext,
    | "clock"
    | "events"
    | "metrics"
    | "replicas"
    | "paths"
    | "pool"
    | "dialect"
    | "routes"
    | "stalls"
    | "starts"
  >,
): CrashWatch {
  const { clock, events, metrics, replicas, paths, stalls, starts } = context;
  return new CrashWatch({
    clock,
    events,
    metrics,
    host: self.id,
    rule: crashRuleOf(settings),
    isDraining: (entry) => replicas.isDraining(entry),
    countReplicas: ({ service, stage }) =>
      replicas.entries().filter((other) =>
        other.service === service && other.stage === stage
      ).length,
    probe: (entry) => paths.monitor.probe(entry),
    findStart: (entry) => starts.findOnce(entry),
    readId: (entry) => readReplicaId(context, entry),
    stalls,
    askPeer: (peer) => askProcess(peer, { clock, connections }),
    isAlive: (entry) => isReplicaAlive(context, entry),
  });
}

/** A replica that ends an idle connection may have started again. */
function createStartChecks(options: StartChecksOptions): StartChecks {
  const starts = new StartChecks(options);
  options.pool.listenForIdleEnds((entry) => starts.noteEnd(entry));
  return starts;
}

function loopState(
  clock: Clock,
): Pick<GatewayContext, "iterations" | "stalls"> {
  return {
    iterations: new IterationMeter(LOOP_TIMES),
    stalls: new LoopStalls(clock),
  };
}

function createStreamVersions(
  { self: entry, directory, listingAgeMs, confirmListing }: FleetConnections,
  store: Store,
  { self, clock, events, metrics, replicas, routes }: Pick<
    GatewayContext,
    "self" | "clock" | "events" | "metrics" | "replicas" | "routes"
  >,
): StreamVersions {
  const windows = new ResumeWindows(routes);
  return new StreamVersions({
    self: { ...entry, run: self.run },
    clock,
    events,
    metrics,
    replicas,
    hosts: () => directory.entries(),
    resumableForMs: (service) => windows.of(service),
    listingAgeMs,
    confirmListing,
    createClient: (address) => createJsonClient(address, clock),
    store,
  });
}

function createClocks(): Pick<GatewayContext, "clock" | "suspensions"> {
  const suspensions = new SuspensionWatch({
    monotonicNow,
    wallClockNow: Date.now,
    bootNow,
  });
  const monotonic = { ...systemClock, now: monotonicNow };
  return { clock: createElapsedClock(monotonic, suspensions), suspensions };
}

function logSleeps(suspensions: SuspensionWatch, events: EventLog): void {
  suspensions.addListener((forMs, isConfirmed) => {
    if (!isConfirmed) return;
    events.note("sleepCounted", { for_ms: Math.round(forMs) });
  });
}

function eventLogOf(
  { host, log }: GatewaySettings,
  clock: Clock,
  writer: LineWriter,
): EventLog {
  return openEventLog({
    program: "otterhill-gateway",
    host: host.id,
    level: log.level,
    clock,
    writer,
  });
}

/** The fleet's retry budget as configured. */
export function retryBudgetRuleOf({ retries }: GatewaySettings): BudgetRule {
  const { window, ratio, extra } = retries;
  return { windowMs: window, ratio, extra };
}

/** Limits on requests that crash their replicas. */
export function crashRuleOf({ crashes }: GatewaySettings): CrashRule {
  return { crashThreshold: crashes.most, ttlMs: crashes.life };
}

/** The reloadable parameters of the request path. */
export function tuningOf(settings: GatewaySettings): GatewayTuning {
  const { tuning, scheduling, callers } = settings;
  return {
    reserveTimeoutMs: tuning.reserve_timeout,
    prefillTimeoutMs: tuning.prefill_timeout,
    retryAfterObjectives: tuning.retry_after_objectives,
    stallTimeoutMs: tuning.stall,
    outputMargin: tuning.output_margin,
    memoryShare: tuning.memory_share,
    remoteHallPenalty: tuning.far_charge,
    unreadTimeoutMs: settings.memory.unread_timeout ?? Infinity,
    maxConnections: callers.connections ??
      callerConnectionsOf(descriptorLimit()),
    maxPipelinedRequests: callers.pipelined_requests,
    maxPipelinedHeadBytes: callers.pipelined_heads,
    scheduling: {
      replicaRates: scheduling.replica_rates,
      rateHandover: scheduling.rate_handover,
      measuredSplit: scheduling.measured_split,
      arrivalDecisions: scheduling.arrival_decisions,
      measuredMemory: scheduling.measured_memory,
      bookedReturns: scheduling.booked_returns,
      customerShares: scheduling.customer_shares,
      quotaPriorities: scheduling.quota_priorities,
      quotaLargeRequests: scheduling.quota_large_requests,
      errorOrigins: scheduling.error_origins,
      secondAttempts: scheduling.second_attempts,
      avoidBroken: scheduling.avoid_broken,
    },
  };
}
