/** The configuration that the operator of a soak publishes. */
import { CallKind } from "./call.ts";
import { CHUNKED_LOAD, type FramingLoad } from "./response_shapes.ts";

/** The timeout of all routes unless a test sets another. */
export const ROUTE_TIMEOUT_MS = 4000;

/** How replicas and memory of a world are set up. */
export type WorldLoad = {
  /** Every other replica is slow, and memory is scarce. */
  readonly isUneven: boolean;
  readonly framing: FramingLoad;
  /** Connections that each replica accepts from all hosts; 200 by default. */
  readonly connectionLimit?: number;
  /** The timeout of all routes; {@link ROUTE_TIMEOUT_MS} by default. */
  readonly routeTimeoutMs?: number;
};

/** Equal replicas with ample memory. */
export const EVEN_LOAD: WorldLoad = { isUneven: false, framing: CHUNKED_LOAD };
const AMPLE_MEMORY_TOKENS = 100_000;
/** Memory for three requests at a replica. */
const SCARCE_MEMORY_TOKENS = 400;

/** A version of the configuration. */
export function configOf(
  version: number,
  { isUneven, connectionLimit = 200, routeTimeoutMs = ROUTE_TIMEOUT_MS }:
    WorldLoad,
): object {
  const routes = Object.values(CallKind).map((kind) => ({
    Name: kind,
    Host: "example",
    PathPrefix: `/${kind}/`,
    Kind: kind === CallKind.resumable ? CallKind.stream : kind,
    TimeoutMs: routeTimeoutMs,
    TargetLatencyMs: 900,
    GapTargetMs: 300,
    Priority: 1,
    MaxAttempts: 2,
    Resumable: kind === CallKind.resumable,
    Service: isStream(kind) ? "engine" : "plain",
  })).map((route) =>
    isStream(route.Kind) ? { ...route, Kind: "streaming" } : route
  );
  const service = { HealthPath: "/health", ConnectionLimit: connectionLimit };
  const engine = {
    Slots: 64,
    KvCacheTokens: isUneven ? SCARCE_MEMORY_TOKENS : AMPLE_MEMORY_TOKENS,
    HandleRetentionS: 1.5,
    HoldMs: 2000,
    Stride: 1,
    StageSwitchS: 6,
  };
  return {
    Version: version,
    Routes: routes,
    Services: [
      { Name: "plain", ...service },
      { Name: "engine", ...service, InferenceEngine: engine },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 65_536,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

function isStream(kind: string): boolean {
  return kind === CallKind.stream || kind === CallKind.resumable;
}
