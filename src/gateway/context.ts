/** What the parts of the gateway share. */
import type { HallId, HostId } from "../util/ids.ts";
import type { Milliseconds } from "../util/units.ts";
import type { Clock } from "./clock.ts";
import type { EventLog } from "./observe/event_log.ts";
import type { Metrics } from "./observe/metrics.ts";
import type { CrashWatch } from "./crashes/crash_watch.ts";
import type { ReplicaLimits } from "./limits/replica_limits.ts";
import type { Dialect } from "./port.ts";
import type { LeavingReplicas } from "./replicas/leaving_replicas.ts";
import type { ReplicaGate } from "./replicas/replica_gate.ts";
import type { ReplicaTable } from "./replicas/replica_table.ts";
import type { RetryBudget } from "./retries/retry_budget.ts";
import type { RouteTable } from "./routing/route_table.ts";
import type { StoreEras } from "./state/store_eras.ts";
import type { SuspensionWatch } from "./suspension.ts";
import type { UpstreamPool } from "./upstreams/pool.ts";

/** Times and shares that the settings may change. */
export type GatewayTuning = {
  /** Longest wait for the answer to a reservation. */
  readonly reserveTimeoutMs: Milliseconds;
  /** Longest wait for a prefill before another replica is tried. */
  readonly prefillTimeoutMs: Milliseconds;
  /** A repeatable request is tried elsewhere after so many objectives. */
  readonly retryAfterObjectives: number;
  /** A resumable stream without events for so long goes on elsewhere. */
  readonly stallMs: Milliseconds;
  /** Output that is reserved, as a multiple of the caller's guess. */
  readonly outputMargin: number;
  /** Share of a replica's memory that is reserved at most. */
  readonly memoryShare: number;
  /** What a replica in another hall counts as, as a share of its memory. */
  readonly farCharge: number;
};

/** Shared state and ports of one gateway. */
export type GatewayContext = {
  readonly self: {
    readonly id: HostId;
    readonly hall: HallId;
    /** Names this run of the process. */
    readonly run: string;
  };
  readonly clock: Clock;
  readonly suspensions: SuspensionWatch;
  readonly eras: StoreEras;
  /** In [0, 1). */
  readonly random: () => number;
  readonly dialect: Dialect;
  readonly routes: RouteTable;
  readonly replicas: ReplicaTable;
  readonly budget: RetryBudget;
  readonly pool: UpstreamPool;
  readonly crashes: CrashWatch;
  readonly limits: ReplicaLimits;
  readonly leaving: LeavingReplicas;
  readonly gate: ReplicaGate;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** As the settings have it now. */
  tuning: GatewayTuning;
  /** Live hosts of the fleet as far as is known, this one included. */
  readonly hostCount: () => number;
  /** When this process was asked to stop, and by when it must have ended. */
  readonly stop: { askedAt?: Milliseconds; graceMs: Milliseconds };
};
