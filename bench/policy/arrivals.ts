/** Arrivals of a workload, and the load that its fleet can carry. */
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";
import { draw } from "../../src/core/mod.ts";
import type { Kind, Workload } from "./workloads.ts";

/** One request to be sent. */
export type Arrival = {
  readonly at: number;
  readonly kind: Kind;
  readonly group: number;
  readonly sharedTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
};

/** A draw between two whole numbers. */
function between(
  random: RandomGenerator,
  [low, high]: readonly [number, number],
): number {
  return low + draw(random, high - low + 1);
}

/** A group, the first ones more often. */
function groupOf(random: RandomGenerator, kind: Kind): number {
  const weights = Array.from(
    { length: kind.groups },
    (_, n) => 1 / (n + 1) ** kind.skew,
  );
  const total = weights.reduce((sum, one) => sum + one, 0);
  let left = draw(random, 1_000_000) / 1_000_000 * total;
  for (const [group, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return group;
  }
  return 0;
}

/** The size of a group's shared part: always the same for a group. */
export function sharedOf(kind: Kind, group: number): number {
  const random = xoroshiro128plus(group * 7919 + 13);
  return between(random, kind.sharedTokens);
}

/** Arrivals at a mean rate, in requests a second, with bursts. */
export function arrivalsOf(
  workload: Workload,
  rate: number,
  spanMs: number,
  seed: number,
): Arrival[] {
  const random = xoroshiro128plus(seed);
  const made: Arrival[] = [];
  const calm = 1 / (0.9 + 0.1 * workload.burst);
  let at = 0;
  for (;;) {
    const unit = (draw(random, 1_000_000) + 1) / 1_000_001;
    const inBurst = at % 20_000 >= 18_000;
    const factor = calm * (inBurst ? workload.burst : 1);
    at += -Math.log(unit) / (rate * factor) * 1000;
    if (at >= spanMs) return made;
    made.push(arrival(random, workload, at));
  }
}

function arrival(
  random: RandomGenerator,
  workload: Workload,
  at: number,
): Arrival {
  let left = draw(random, 1_000_000) / 1_000_000;
  const kind = workload.kinds.find((one) => (left -= one.share) < 0) ??
    workload.kinds[0];
  if (!kind) throw new Error("A workload needs a kind of request");
  const group = kind.groups > 0 ? groupOf(random, kind) : 0;
  const shared = kind.groups > 0 ? sharedOf(kind, group) : 0;
  const drawn = between(random, kind.prompt);
  const own = Math.max(40, Math.round(shared * kind.ownShare));
  const promptTokens = shared > 0 ? shared + own : drawn;
  const outputTokens = between(random, kind.output);
  return { at, kind, group, sharedTokens: shared, promptTokens, outputTokens };
}

/** Requests a second that the fleet can serve with all shared parts cached. */
export function capacityOf(workload: Workload): number {
  const sample = arrivalsOf(workload, 100, 60_000, 99);
  const { engine, layout: { upstreams } } = workload;
  const prefills = upstreams.filter((one) => one.role === "prefill").length;
  const decodes = upstreams.length - prefills;
  const mean = (value: (one: Arrival) => number): number =>
    sample.reduce((sum, one) => sum + value(one), 0) / sample.length;
  const colds = mean((one) => coldTokens(one));
  const slots = Math.min(
    engine.slots,
    Math.floor((35 * 0.92 - engine.stepBaseMs) / engine.stepPerRequestMs),
  );
  const stepMs = engine.stepBaseMs + engine.stepPerRequestMs * slots;
  const decodeMs = mean((one) => one.outputTokens) * stepMs;
  const byPrefill = prefills * engine.prefillRate / colds;
  const byDecode = decodes * slots / decodeMs * 1000;
  const moved = mean((one) => one.promptTokens) * engine.transferMsPerToken;
  const byLink = prefills * 1000 / moved;
  return Math.min(byPrefill, byDecode, byLink);
}

/** Tokens that a request needs computed when its shared part is cached. */
export function coldTokens(one: Arrival): number {
  const whole = Math.floor(one.sharedTokens / 256) * 256;
  return one.promptTokens - whole;
}
