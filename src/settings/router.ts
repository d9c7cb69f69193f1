/** Settings schema of an entry host; docs/SETTINGS.md describes each key. */
import * as z from "zod";
import { address, duration, listenAddress, name, size } from "./units.ts";

const Host = z.strictObject({
  id: name(),
  hall: name(),
  region: name(),
});

const Listen = z.strictObject({
  callers: listenAddress(),
  peers: listenAddress(),
});

const Platform = z.strictObject({
  address: address(),
  timeout: duration("1s"),
});

const Peer = z.strictObject({
  id: name(),
  hall: name(),
  region: name(),
  address: address(),
});

const Limits = z.strictObject({
  body: size("8MB"),
  unsent_answer: size("1MB"),
  calls_per_upstream: z.int().min(1).default(256),
  connect_timeout: duration("300ms"),
  peer_timeout: duration("500ms"),
  stop_timeout: duration("60s"),
});

const Access = z.strictObject({
  operator_key_hashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
  peer_secret_file: z.string().optional(),
});

const Tuning = z.strictObject({
  gossip_interval: duration("1s"),
  host_timeout: duration("8s"),
  settings_interval: duration("3s"),
  hosts_interval: duration("2s"),
  load_interval: duration("500ms"),
  sweep_interval: duration("3s"),
  owner_grace: duration("12s"),
  retry_share: z.number().min(0).max(1).default(0.1),
  kv_bytes_per_token: size("160KB"),
  link_bytes_per_second: size("12.5GB"),
});

const Log = z.strictObject({
  level: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** The schema of an entry host's settings file. */
export const RouterSchema = z.strictObject({
  host: Host,
  listen: Listen,
  platform: Platform,
  peers: z.array(Peer).default([]),
  limits: Limits.prefault({}),
  access: Access.prefault({}),
  tuning: Tuning.prefault({}),
  log: Log.prefault({}),
});
/** Checked settings of an entry host. */
export type RouterSettings = z.output<typeof RouterSchema>;
