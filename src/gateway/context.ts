/** State and dependencies that the modules of a gateway share. */
import type { HallId, HostId } from "../util/ids.ts";
import type { Milliseconds } from "../util/units.ts";
import type { Clock } from "./clock.ts";
import type { EventLog } from "./observe/event_log.ts";
import type { Metrics } from "./observe/metrics.ts";
import type { CrashWatch } from "./crashes/crash_watch.ts";
import type { IterationMeter } from "./load/iteration_meter.ts";
import type { LoopStalls } from "./load/loop_stalls.ts";
import type { ByteBudget } from "./memory/byte_budget.ts";
import type { ReplicaLimits } from "./limits/replica_limits.ts";
import type { Dialect } from "./port.ts";
import type { DrainingReplicas } from "./replicas/draining_replicas.ts";
import type { ReplicaPaths } from "./paths/create_paths.ts";
import type { ReplicaGate } from "./replicas/replica_gate.ts";
import type { ReplicaTable } from "./replicas/replica_table.ts";
import type { RetryBudget } from "./retries/retry_budget.ts";
import type { RouteTable } from "./routing/route_table.ts";
import type { StreamVersions } from "./streams/stream_versions.ts";
import type { StoreEras } from "./state/store_eras.ts";
import type { SuspensionWatch } from "./suspension.ts";
import type { UpstreamPool } from "./upstreams/pool.ts";
import type { StartChecks } from "./upstreams/start_check.ts";

/** The optional decisions under load that are switched on. */
export type Scheduling = {
  /** Prefer fast replicas, and eject replicas that are slow or fail. */
  readonly replicaRates: boolean;
  /** Pass on what a planner has measured of replicas to the next one. */
  readonly rateHandover: boolean;
  /** Adapt the share of prefill replicas to the demand and their rates. */
  readonly measuredSplit: boolean;
  /** Decide at its arrival whether a request can be served. */
  readonly arrivalDecisions: boolean;
  /** Fill decode memory by what replicas report to use of reservations. */
  readonly measuredMemory: boolean;
  /** Reserve a later place for a request that is refused. */
  readonly bookedReturns: boolean;
  /** Share an overloaded service fairly among its customers. */
  readonly customerShares: boolean;
  /** Let urgent requests go first within a customer's quota. */
  readonly quotaPriorities: boolean;
  /** Keep room for large requests within a customer's quota. */
  readonly quotaLargeRequests: boolean;
  /** Tell error responses of a replica from those of a route. */
  readonly errorOrigins: boolean;
  /** Send safe calls that are late to a second replica. */
  readonly secondAttempts: boolean;
  /** Keep calls that run once from replicas at which a call just broke. */
  readonly avoidBroken: boolean;
};

/** Parameters that a reload of the settings can change. */
export type GatewayTuning = {
  /** Timeout of a memory reservation at a replica. */
  readonly reserveTimeoutMs: Milliseconds;
  /** Timeout of a prefill, after which another replica is tried. */
  readonly prefillTimeoutMs: Milliseconds;
  /**
   * A repeatable request is retried at another replica after this multiple of
   * its route's latency objective.
   */
  readonly retryAfterObjectives: number;
  /**
   * A resumable stream without events for this long resumes at another replica.
   */
  readonly stallTimeoutMs: Milliseconds;
  /** Reserved output tokens, as a multiple of the caller's estimate. */
  readonly outputMargin: number;
  /** Maximum share of a replica's memory that is reserved. */
  readonly memoryShare: number;
  /** Cost of choosing a replica in another hall, as a share of its memory. */
  readonly remoteHallPenalty: number;
  readonly scheduling: Scheduling;
  /** How long a caller may leave an answer unread; Infinity: for ever. */
  readonly unreadTimeoutMs: Milliseconds;
  /** Connections of callers that may be open; Infinity: any number. */
  readonly maxConnections: number;
  /** Pipelined requests that may wait on one connection. */
  readonly maxPipelinedRequests: number;
  /** Bytes of the heads of requests that may wait on one connection. */
  readonly maxPipelinedHeadBytes: number;
};

/** Shared state and dependencies of one gateway. */
export type GatewayContext = {
  readonly self: {
    readonly id: HostId;
    readonly hall: HallId;
    /** See `HostEntry.capacity`. */
    readonly capacity?: number;
    /** Identifies this run of the process. */
    readonly run: string;
  };
  readonly clock: Clock;
  readonly suspensions: SuspensionWatch;
  /** Tells how far the event loop of this host is behind. */
  readonly iterations: IterationMeter;
  /** Tells whether the event loop of this host has stood still. */
  readonly stalls: LoopStalls;
  readonly eras: StoreEras;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly dialect: Dialect;
  readonly routes: RouteTable;
  readonly replicas: ReplicaTable;
  readonly retryBudget: RetryBudget;
  /** Bytes that this host holds for its callers. */
  readonly heldBytes: ByteBudget;
  readonly pool: UpstreamPool;
  readonly paths: ReplicaPaths;
  readonly crashes: CrashWatch;
  readonly starts: StartChecks;
  readonly limits: ReplicaLimits;
  readonly draining: DrainingReplicas;
  readonly gate: ReplicaGate;
  /** The software versions that began the streams of resumable routes. */
  readonly streams: StreamVersions;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Replaced when the settings are reloaded. */
  tuning: GatewayTuning;
  /** Number of known live hosts of the fleet, including this one. */
  readonly hostCount: () => number;
  /** When a stop was requested, if it was, and the grace period for it. */
  readonly stop: { requestedAt?: Milliseconds; graceMs: Milliseconds };
};
