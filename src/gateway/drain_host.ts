/** Lets a stopping host finish its open requests. */
import type { Milliseconds } from "../util/units.ts";
import type { DrainResult } from "./callers/open_requests.ts";
import type { CallerServer } from "./callers/server.ts";
import { type Clock, sleep } from "./clock.ts";
import type { TunnelServer } from "./paths/tunnel_server.ts";

/**
 * Time within which the load balancer stops sending requests to a host whose
 * readiness check fails.
 */
const BALANCER_REMOVAL_MS: Milliseconds = 3200;
/** Interval at which a stopping host checks whether it carries tunnels. */
const TUNNEL_POLL_INTERVAL_MS: Milliseconds = 50;

/** What a host ended when its grace period was over. */
export type HostDrainResult = DrainResult & {
  /** Tunnels of other hosts, with the calls in them. */
  readonly tunnels: number;
};

/** Options of {@link drainHost}. */
export type DrainHostOptions = {
  readonly clock: Clock;
  readonly deadline: Milliseconds;
  readonly callers: Pick<CallerServer, "drain" | "refuseLate">;
  readonly tunnels: Pick<TunnelServer, "size" | "announceStop">;
};

/** Serves until the open requests have ended, at the latest at `deadline`. */
export async function drainHost(
  { clock, deadline, callers, tunnels }: DrainHostOptions,
): Promise<HostDrainResult> {
  tunnels.announceStop();
  void callers.refuseLate(clock, deadline);
  const leftMs = Math.max(0, deadline - clock.now());
  await sleep(clock, Math.min(BALANCER_REMOVAL_MS, leftMs));
  const drained = await callers.drain(clock, deadline);
  while (tunnels.size > 0 && clock.now() < deadline) {
    await sleep(clock, TUNNEL_POLL_INTERVAL_MS);
  }
  return { ...drained, tunnels: tunnels.size };
}
