/**
 * Finds what upstreams hold for nobody. An upstream's planner lists what it
 * holds, asks the owners, and cancels what has no owner any more.
 */
import type { AttemptId } from "../request_ids.ts";
import type { HostId, UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { type Owner, ownerOf } from "../request_ids.ts";
import { Mechanism } from "../options.ts";
import type { SweepAsk } from "../../messages/peer.ts";
import { count, enabled, log, order, type World } from "../world.ts";
import { plannerOf } from "./membership.ts";
import { tell } from "./peers.ts";
import { release } from "./release.ts";

/** Reads what each upstream of this planner holds, when it is time. */
export function pollHeld(world: World, now: Milliseconds): void {
  if (!enabled(world, Mechanism.sweep)) return;
  for (const upstream of world.upstreams.values()) {
    if (now < upstream.nextSweepAt) continue;
    if (upstream.region !== world.self.region) continue;
    upstream.nextSweepAt = now + world.options.sweepMs;
    const planner = plannerOf(world, upstream.pool, now);
    if (planner !== world.self.id) continue;
    order(world, { type: "readHeld", upstream: upstream.id });
  }
}

/** Sorts what an upstream holds by owner and deals with each. */
export function takeHeld(
  world: World,
  upstream: UpstreamId,
  attempts: readonly AttemptId[],
  now: Milliseconds,
): void {
  const asked = new Map<HostId, AttemptId[]>();
  for (const attempt of attempts) {
    const named = ownerOf(attempt);
    // Others may use an upstream too; what isn't ours is left alone.
    if (!named) continue;
    const owner = liveOwner(world, named, now);
    if (owner === undefined) {
      cancelOrphan(world, upstream, attempt, now);
      continue;
    }
    asked.set(owner, [...(asked.get(owner) ?? []), attempt]);
  }
  for (const [owner, its] of asked) {
    const value = { upstream, attempts: its };
    tell(world, owner, { $case: "sweepAsk", value });
  }
}

/** The host that may still want the attempt. */
function liveOwner(
  world: World,
  owner: Owner,
  now: Milliseconds,
): HostId | undefined {
  const host = world.hosts.get(owner.host);
  if (!host) return undefined;
  if (host.id === world.self.id) {
    return owner.incarnation === world.self.incarnation ? host.id : undefined;
  }
  if (host.incarnation > owner.incarnation) return undefined;
  const silent = now - host.heardAt > world.options.ownerGraceMs;
  return silent ? undefined : host.id;
}

function cancelOrphan(
  world: World,
  upstream: UpstreamId,
  attempt: AttemptId,
  now: Milliseconds,
): void {
  count(world, "orphans_cancelled");
  log(world, {
    part: "sweep",
    sentence: "An upstream held an attempt without an owner",
    request: attempt,
    fields: { upstream },
  });
  release(world, attempt, upstream, now);
}

/** Cancels whatever of this list the owner does not want. */
export function takeSweepAsk(
  world: World,
  ask: SweepAsk,
  now: Milliseconds,
): void {
  for (const attempt of ask.attempts) {
    if (wanted(world, attempt, ask.upstream)) continue;
    count(world, "sweep_disowned");
    release(world, attempt, ask.upstream, now);
  }
}

function wanted(
  world: World,
  attempt: AttemptId,
  upstream: UpstreamId,
): boolean {
  if (world.attempts.get(attempt)?.upstream === upstream) return true;
  for (const request of world.requests.values()) {
    const kept = request.export;
    if (kept?.attempt === attempt && kept.upstream === upstream) return true;
  }
  return false;
}
