/** What the demo's platform and gateways are configured with. */
import type { EngineParameters } from "../../src/standins/engine/mod.ts";
import { DEFAULT_ENGINE } from "../../src/standins/engine/mod.ts";

/** Data halls of the demo. */
export const HALLS = ["brest", "quimper", "lorient"] as const;
/** The model that the engine serves. */
export const MODEL = "recap-llm";
/** The plain service. */
export const SERVICE = "reel-api";
/** Key of the demo's customer. */
export const API_KEY = "demo-key";
/** Address of all servers of the demo. */
export const LOOPBACK = "127.0.0.1";

/** Time for which a replica retains a prefill. */
const EXPORT_MS = 1500;
/** KV cache of a replica. */
export const MEMORY_TOKENS = 200_000;
/** Concurrent calls of a plain replica. */
export const PLAIN_SLOTS = 8;

/** Timing of the engine's replicas. */
export const ENGINE: EngineParameters = {
  ...DEFAULT_ENGINE,
  exportMs: EXPORT_MS,
};

const ROUTE = {
  Host: LOOPBACK,
  TimeoutMs: 15_000,
  MaxAttempts: 2,
  Priority: 1,
};

/** The configuration that the operator publishes. */
export const CONFIG = {
  Version: 1,
  Routes: [
    {
      ...ROUTE,
      Name: "completions",
      PathPrefix: "/v1/",
      Kind: "streaming",
      TargetLatencyMs: 560,
      GapTargetMs: 35,
      Resumable: true,
      Service: MODEL,
    },
    {
      ...ROUTE,
      Name: "plain",
      PathPrefix: `/plain/${SERVICE}/`,
      Kind: "safe",
      TargetLatencyMs: 200,
      Service: SERVICE,
    },
  ],
  Services: [
    {
      Name: MODEL,
      HealthPath: "/health",
      ConnectionLimit: 200,
      InferenceEngine: {
        Slots: ENGINE.slots,
        KvCacheTokens: MEMORY_TOKENS,
        HandleRetentionS: EXPORT_MS / 1000,
        HoldMs: 2000,
        Stride: ENGINE.chunkTokens,
        StageSwitchS: 6,
      },
    },
    { Name: SERVICE, HealthPath: "/health", ConnectionLimit: 200 },
  ],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4 * 1024 * 1024,
    HeaderTimeoutMs: 3000,
    IdleTimeoutMs: 15_000,
  },
  Tenants: [{ Name: "demo", ApiKeys: [API_KEY] }],
} as const;

/** A replica's row in the store. */
export function replicaRow(replica: {
  readonly service: string;
  readonly address: string;
  readonly hall: string;
  readonly stage?: "prefill" | "decode";
}): object {
  const { service, address, hall, stage } = replica;
  return {
    Service: service,
    Address: address,
    Zone: hall,
    Version: "v1",
    Slots: stage === undefined ? PLAIN_SLOTS : ENGINE.slots,
    State: "ready",
    ...(stage === undefined
      ? {}
      : { Stage: stage, Models: [{ Name: "m", Version: 1, Adapters: [] }] }),
    ColdRemainingMs: 0,
    Sequence: 1,
    born: 1,
  };
}

/** Addresses of a gateway. */
export type GatewayAddresses = {
  readonly callers: string;
  readonly readiness: string;
  readonly peers: string;
  readonly metrics: string;
};

/** The settings file of a gateway. */
export function gatewaySettings(host: {
  readonly name: string;
  readonly hall: string;
  readonly store: string;
  readonly seeds: readonly string[];
  readonly addresses: GatewayAddresses;
}): string {
  const { name, hall, store, seeds, addresses } = host;
  return `
seeds = ${JSON.stringify(seeds)}
grace = "5s"
[host]
id = "${name}"
hall = "${hall}"
[listen]
callers = "${addresses.callers}"
readiness = "${addresses.readiness}"
peers = "${addresses.peers}"
metrics = "${addresses.metrics}"
[store]
address = "${store}"
[scheduling]
replica_rates = true
arrival_decisions = true
`;
}
