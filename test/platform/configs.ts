/** Configurations as the operator writes them, for tests. */

/** A time limit that no test reaches. */
const AMPLE_MS = 30_000;

/** One unsafe route of a plain service. */
export function config(version: number, prefix: string): object {
  return {
    Version: version,
    Routes: [{
      Name: "r",
      Host: "example",
      PathPrefix: prefix,
      Kind: "unsafe",
      TimeoutMs: AMPLE_MS,
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

/** One streaming route of a model engine. */
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
