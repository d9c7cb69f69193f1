/** Settings schema of a gateway; docs/SETTINGS.md describes each key. */
import * as z from "zod";
import {
  address,
  duration,
  listenAddress,
  name,
  requiredDuration,
  requiredSize,
  size,
} from "./units.ts";

const Host = z.strictObject({
  id: name(),
  hall: name(),
  /** The address for peers, if it differs from `listen.peers`. */
  peer_address: address().optional(),
  /**
   * Cores of the host, or the factor by which its core is faster; absent: the
   * host counts as one core.
   */
  cpu_cores: z.number().positive().optional(),
  /** Share of these cores that the process may use. */
  cpu_share: z.number().positive().max(1).default(1),
  /** Bandwidth of the host's network link; absent: it limits nothing. */
  link_mbps: z.number().positive().optional(),
});

const Listen = z.strictObject({
  callers: listenAddress(),
  readiness: listenAddress(),
  peers: listenAddress(),
  metrics: listenAddress().optional(),
});

const Store = z.strictObject({
  address: address(),
  timeout: duration("700ms"),
  list_interval: duration("700ms"),
  watch: duration("1200ms"),
});

const Retries = z.strictObject({
  window: duration("10s"),
  ratio: z.number().min(0).max(1).default(0.2),
  extra: z.number().min(0).default(10),
});

const Crashes = z.strictObject({
  /** Number of replica crashes after which a request is rejected. */
  most: z.number().int().min(2).default(3),
  /** TTL of a recorded crash. */
  life: duration("5m"),
});

const Stages = z.strictObject({
  /** Share of a service's model engines in the prefill stage. */
  prefill_share: z.number().min(0.05).max(0.95).default(0.22),
  /** Minimum time between the stage orders of two hosts. */
  guard: duration("3s"),
});

const Tuning = z.strictObject({
  connect_timeout: duration("400ms"),
  reserve_timeout: duration("250ms"),
  prefill_timeout: duration("1s"),
  retry_after_objectives: z.number().positive().default(2),
  stall: duration("1500ms"),
  /**
   * Share of the expected output for which memory is reserved. A running
   * response uses half of its final output on average; a higher value leaves
   * memory unused, a lower one makes replicas preempt.
   */
  output_margin: z.number().min(0).max(10).default(0.5),
  memory_share: z.number().min(0.1).max(1).default(0.96),
  far_charge: z.number().min(0).default(0.1),
});

/** Decisions under load; each is off unless it is switched on. */
const Scheduling = z.strictObject({
  /** Prefer fast replicas, and eject replicas that are slow or fail. */
  replica_rates: z.boolean().default(false),
  /** Pass on what a planner has measured of replicas to the next one. */
  rate_handover: z.boolean().default(true),
  /** Adapt the share of prefill replicas to the demand and their rates. */
  measured_split: z.boolean().default(false),
  /** Decide at its arrival whether a request can be served. */
  arrival_decisions: z.boolean().default(false),
  /** Fill decode memory by what replicas report to use of reservations. */
  measured_memory: z.boolean().default(false),
  /** Reserve a later place for a request that is refused. */
  booked_returns: z.boolean().default(false),
  /** Share an overloaded service fairly among its customers. */
  customer_shares: z.boolean().default(false),
  /** Let urgent requests go first within a customer's quota. */
  quota_priorities: z.boolean().default(false),
  /** Keep room for large requests within a customer's quota. */
  quota_large_requests: z.boolean().default(false),
  /** Tell error responses of a replica from those of a route. */
  error_origins: z.boolean().default(false),
  /** Send safe calls that are late to a second replica. */
  second_attempts: z.boolean().default(false),
  /** Keep calls that run once from replicas at which a call just broke. */
  avoid_broken: z.boolean().default(false),
});

const Memory = z.strictObject({
  /** Memory of the process, by which callers' bytes are bounded. */
  process: requiredSize().optional(),
  /** Ends an answer that its caller leaves unread for longer. */
  unread_timeout: requiredDuration().optional(),
});

/** Bounds on what the connections of callers make the host hold. */
const Callers = z.strictObject({
  /** Open connections; absent: derived from the limit on descriptors. */
  connections: z.number().int().min(1).optional(),
  /** Pipelined requests that wait; no more are read until some have started. */
  pipelined_requests: z.number().int().min(1).default(16),
  /** Bytes of the heads of the requests that wait. */
  pipelined_heads: size("128KB"),
});

const Customers = z.strictObject({
  /**
   * Maximum age of the configuration by which API keys are accepted; absent for
   * no maximum.
   */
  key_max_age: requiredDuration().optional(),
  /**
   * Within any window, all hosts together admit up to
   * (rate x window + burst) x (1 + overshoot) + tolerance units of a customer.
   */
  quota_window: duration("10s"),
  quota_overshoot: z.number().min(0).default(0.1),
  quota_tolerance: z.number().min(0).default(0),
});

const Log = z.strictObject({
  level: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** The schema of a gateway's settings file. */
export const GatewaySchema = z.strictObject({
  host: Host,
  listen: Listen,
  store: Store,
  /** Addresses of peers to contact before the store responds. */
  seeds: z.array(address()).default([]),
  /** Maximum time from SIGTERM to the exit. */
  grace: duration("8s"),
  retries: Retries.prefault({}),
  crashes: Crashes.prefault({}),
  stages: Stages.prefault({}),
  tuning: Tuning.prefault({}),
  memory: Memory.prefault({}),
  callers: Callers.prefault({}),
  scheduling: Scheduling.prefault({}),
  customers: Customers.prefault({}),
  log: Log.prefault({}),
});
/** Checked settings of a gateway. */
export type GatewaySettings = z.output<typeof GatewaySchema>;
