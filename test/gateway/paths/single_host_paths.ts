/** The paths of a host without peers, which uses its own only. */
import type { Clock } from "../../../src/gateway/clock.ts";
import {
  createPaths,
  type ReplicaPaths,
} from "../../../src/gateway/paths/create_paths.ts";
import { tcpConnect } from "../../../src/gateway/upstreams/connect.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

/** Creates the paths of a host without peers. */
export function singleHostPaths(clock: Clock): ReplicaPaths {
  return createPaths({
    clock,
    self: { id: "host", hall: "hall" },
    peers: () => [],
    replicas: () => [],
    isListed: () => true,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    connect: tcpConnect,
    connectTimeoutMs: TEST_TIMEOUT_MS,
  });
}
