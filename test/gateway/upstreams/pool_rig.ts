/** A host's connections to replicas, for tests. */
import { type Clock, systemClock } from "../../../src/gateway/clock.ts";
import {
  createPaths,
  type ReplicaPaths,
} from "../../../src/gateway/paths/create_paths.ts";
import { tcpConnect } from "../../../src/gateway/upstreams/connect.ts";
import { UpstreamPool } from "../../../src/gateway/upstreams/pool.ts";
import type { Milliseconds } from "../../../src/util/units.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

/** Options of {@link startPool}. */
export type PoolRigOptions = {
  /** Address of the only other host; without it there is none. */
  readonly peer?: string;
  /** Whether replicas are listed; they are by default. */
  readonly isListed?: boolean;
  readonly clock?: Clock;
  readonly connectTimeoutMs?: Milliseconds;
};

/** A request that is sent once, over one connection. */
export const SINGLE_GET = {
  method: "GET",
  path: "/",
  headers: [],
  body: Buffer.alloc(0),
  maxConnections: 1,
  isRepeatable: false,
  isResend: false,
} as const;

/** A pool and the paths that it uses. */
export type PoolRig = {
  readonly pool: UpstreamPool;
  readonly paths: ReplicaPaths;
};

/** Creates the pool of a host. */
export function startPool(
  {
    peer,
    isListed = true,
    clock = systemClock,
    connectTimeoutMs = TEST_TIMEOUT_MS,
  }: PoolRigOptions = {},
): PoolRig {
  const peers = peer === undefined
    ? []
    : [{ id: "peer", address: peer, hall: "h" }];
  const paths = createPaths({
    clock,
    self: { id: "host", hall: "h" },
    peers: () => peers,
    replicas: () => [],
    isListed: () => isListed,
    events: { note: () => undefined },
    metrics: { count: () => undefined, countLabelled: () => undefined },
    connect: tcpConnect,
    connectTimeoutMs,
  });
  return { pool: new UpstreamPool(clock, paths), paths };
}
