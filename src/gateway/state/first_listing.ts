/** Decides when a starting host lists the replicas for the first time. */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import type { HallFollower } from "./hall_follower.ts";

/**
 * Time for each known host over which their first listings are spread. All hosts
 * of a fleet may start together, and with a listing of 3,000 replicas a host
 * makes some ten calls: more than the store takes of 300 hosts in a second.
 */
const SPREAD_MS_PER_HOST: Milliseconds = 5;
/** Interval at which a waiting host checks; by then it has read the hosts. */
const CHECK_INTERVAL_MS: Milliseconds = 50;

/** Options of {@link awaitFirstListing}. */
export type FirstListingOptions = {
  readonly context: Pick<GatewayContext, "clock" | "random" | "replicas">;
  readonly follower: Pick<HallFollower, "isFirstChoice">;
  /** Number of known hosts, including this one. */
  readonly fleetSize: () => number;
  readonly isStopped: () => boolean;
};

/**
 * Waits for this host's turn, or until a peer has sent the listing. A host that
 * others would follow doesn't wait.
 */
export async function awaitFirstListing(
  { context, follower, fleetSize, isStopped }: FirstListingOptions,
): Promise<void> {
  const { clock, random, replicas } = context;
  const share = random();
  const startedAt = clock.now();
  // The fleet becomes known while this host waits.
  const isDue = () =>
    follower.isFirstChoice ||
    clock.now() - startedAt >= share * fleetSize() * SPREAD_MS_PER_HOST;
  if (fleetSize() > 1) await sleep(clock, share * CHECK_INTERVAL_MS);
  while (!isStopped() && replicas.revision < 0 && !isDue()) {
    await sleep(clock, CHECK_INTERVAL_MS);
  }
}
