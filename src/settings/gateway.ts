/** Settings of a gateway; docs/SETTINGS.md has a line on each. */
import * as z from "zod";
import { address, duration, name, requiredDuration } from "./units.ts";

const Host = z.strictObject({
  id: name(),
  hall: name(),
  /** Where peers reach this host, if not at `listen.peers`. */
  peer_address: address().optional(),
});

const Listen = z.strictObject({
  callers: address(),
  readiness: address(),
  peers: address(),
  metrics: address().optional(),
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
  /** Replicas that may crash under a request before it is sent to none. */
  most: z.number().int().min(2).default(3),
  /** How long a crash is remembered, and so a request refused. */
  life: duration("5m"),
});

const Stages = z.strictObject({
  /** Share of a service's model engines that read prompts. */
  prefill_share: z.number().min(0.05).max(0.95).default(0.22),
  /** Least time between the orders of two hosts. */
  guard: duration("3s"),
});

const Tuning = z.strictObject({
  connect_timeout: duration("400ms"),
  reserve_timeout: duration("250ms"),
  prefill_timeout: duration("1s"),
  retry_after_objectives: z.number().positive().default(2),
  stall: duration("1500ms"),
  /**
   * A running answer holds half of its output on average over its life, and
   * many share a replica: more leaves memory idle, less makes replicas
   * preempt.
   */
  output_margin: z.number().min(0).max(10).default(0.5),
  memory_share: z.number().min(0.1).max(1).default(0.96),
  far_charge: z.number().min(0).default(0.1),
});

const Customers = z.strictObject({
  /**
   * Keys are not trusted on an older word of the configuration than this;
   * absent: they are trusted however old it is.
   */
  key_max_age: requiredDuration().optional(),
  /** Bounds on what all hosts together let through of a customer's quota. */
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
  /** Addresses of peers that are known before the store answers. */
  seeds: z.array(address()).default([]),
  /** Time from SIGTERM to the forced end. */
  grace: duration("8s"),
  retries: Retries.prefault({}),
  crashes: Crashes.prefault({}),
  stages: Stages.prefault({}),
  tuning: Tuning.prefault({}),
  customers: Customers.prefault({}),
  log: Log.prefault({}),
});
/** Checked settings of a gateway. */
export type GatewaySettings = z.output<typeof GatewaySchema>;
