/** Parameters of the request path in tests. */
import type { GatewayTuning } from "../../src/gateway/context.ts";
import { NO_SCHEDULING } from "./no_scheduling.ts";

/** Longer than any wait of a test. */
export const TEST_TIMEOUT_MS = 20_000;

/** Long timeouts; all optional decisions are off. */
export const TEST_TUNING: GatewayTuning = {
  reserveTimeoutMs: TEST_TIMEOUT_MS,
  prefillTimeoutMs: TEST_TIMEOUT_MS,
  retryAfterObjectives: 1,
  stallTimeoutMs: TEST_TIMEOUT_MS,
  outputMargin: 1,
  memoryShare: 1,
  remoteHallPenalty: 0.1,
  unreadTimeoutMs: TEST_TIMEOUT_MS,
  maxConnections: Infinity,
  maxPipelinedRequests: 16,
  maxPipelinedHeadBytes: 128 << 10,
  scheduling: NO_SCHEDULING,
};
