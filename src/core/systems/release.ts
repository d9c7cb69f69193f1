/** Cancels what an upstream holds for nobody, until it confirms. */
import type { AttemptId } from "../request_ids.ts";
import type { UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { Mechanism } from "../options.ts";
import { count, enabled, order, type World } from "../world.ts";

/** Starts to cancel an attempt at an upstream. */
export function release(
  world: World,
  attempt: AttemptId,
  upstream: UpstreamId,
  now: Milliseconds,
): void {
  const row = `${upstream} ${attempt}`;
  if (world.releases.has(row)) return;
  const waitMs = world.options.cancelRetryMs;
  world.releases.set(row, { attempt, upstream, nextAt: now + waitMs, waitMs });
  order(world, { type: "cancel", attempt, upstream });
}

/** Tries again the cancels that were not confirmed in time. */
export function retryReleases(world: World, now: Milliseconds): void {
  for (const [row, one] of world.releases) {
    if (!world.upstreams.has(one.upstream)) {
      world.releases.delete(row);
      continue;
    }
    if (now < one.nextAt) continue;
    if (!enabled(world, Mechanism.release)) continue;
    one.waitMs = Math.min(one.waitMs * 2, world.options.cancelRetryMaxMs);
    one.nextAt = now + one.waitMs;
    count(world, "cancels_retried");
    order(world, {
      type: "cancel",
      attempt: one.attempt,
      upstream: one.upstream,
    });
  }
}

/** The upstream holds nothing more of the attempt. */
export function takeCancelDone(
  world: World,
  attempt: AttemptId,
  upstream: UpstreamId,
): void {
  world.releases.delete(`${upstream} ${attempt}`);
}
