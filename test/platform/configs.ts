/** Operator configurations for tests. */

/** Long enough that no request of a test times out. */
const ROUTE_TIMEOUT_MS = 30_000;

/** A configuration with one unsafe route to a plain service. */
export function config(version: number, prefix: string): object {
  return {
    Version: version,
    Routes: [{
      Name: "r",
      Host: "example",
      PathPrefix: prefix,
      Kind: "unsafe",
      TimeoutMs: ROUTE_TIMEOUT_MS,
      TargetLatencyMs: 1000,
      Priority: 1,
      Service: "plain",
      MaxAttempts: 1,
    }],
    Services: [{ Name: "plain", HealthPath: "/health", ConnectionLimit: 50 }],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 1000,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** A configuration with one streaming route to a model engine. */
export function engineConfig(version: number): object {
  const plain = config(version, "/m/") as {
    Routes: object[];
    Services: object[];
  };
  const [route] = plain.Routes;
  const engine = {
    Slots: 4,
    KvCacheTokens: 10_000,
    HandleRetentionS: 30,
    HoldMs: 30_000,
    StageSwitchS: 6,
  };
  return {
    ...plain,
    Routes: [{ ...route, Service: "engine", Kind: "streaming" }],
    Services: [{
      Name: "engine",
      HealthPath: "/health",
      ConnectionLimit: 50,
      InferenceEngine: engine,
    }],
  };
}
