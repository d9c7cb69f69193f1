/** The paths of a host, by default one without peers. */
import type { Clock } from "../../../src/gateway/clock.ts";
import {
  createPaths,
  type ReplicaPaths,
} from "../../../src/gateway/paths/create_paths.ts";
import type { HostEntry } from "../../../src/gateway/port.ts";
import { tcpConnect } from "../../../src/gateway/upstreams/connect.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

/** Creates the paths of a host, which has no peers by default. */
export function singleHostPaths(
  clock: Clock,
  peers: readonly HostEntry[] = [],
): ReplicaPaths {
  return createPaths({
    clock,
    self: { id: "host", hall: "hall" },
    peers: () => peers,
    replicas: () => [],
    isListed: () => true,
    events: { note: () => undefined },
    metrics: { count: () => undefined, countLabelled: () => undefined },
    connect: tcpConnect,
    connectTimeoutMs: TEST_TIMEOUT_MS,
  });
}
