/** Draws the arrivals of a workload and computes the capacity of its fleet. */
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../src/core/mod.ts";
import type { RequestKind, Workload } from "./workloads.ts";

/** A request and the time at which it is sent. */
export type Arrival = {
  readonly at: number;
  readonly kind: RequestKind;
  readonly group: number;
  readonly sharedTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
};

/** Draws an integer between two bounds, both included. */
function drawBetween(
  random: RandomGenerator,
  [low, high]: readonly [number, number],
): number {
  return low + randomInt(random, high - low + 1);
}

/** Draws a group from a Zipf distribution. */
function drawGroup(random: RandomGenerator, kind: RequestKind): number {
  const weights = Array.from(
    { length: kind.groups },
    (_, n) => 1 / (n + 1) ** kind.skew,
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = randomInt(random, 1_000_000) / 1_000_000 * total;
  for (const [group, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return group;
  }
  return 0;
}

/** Returns the size of a group's shared prefix, which is constant per group. */
export function sharedTokensOf(kind: RequestKind, group: number): number {
  const random = xoroshiro128plus(group * 7919 + 13);
  return drawBetween(random, kind.sharedTokens);
}

/** Draws arrivals with bursts at a mean rate in requests per second. */
export function drawArrivals(
  workload: Workload,
  rate: number,
  spanMs: number,
  seed: number,
): Arrival[] {
  const random = xoroshiro128plus(seed);
  const arrivals: Arrival[] = [];
  const baseFactor = 1 / (0.9 + 0.1 * workload.burst);
  let at = 0;
  for (;;) {
    const unit = (randomInt(random, 1_000_000) + 1) / 1_000_001;
    const inBurst = at % 20_000 >= 18_000;
    const factor = baseFactor * (inBurst ? workload.burst : 1);
    at += -Math.log(unit) / (rate * factor) * 1000;
    if (at >= spanMs) return arrivals;
    arrivals.push(drawArrival(random, workload, at));
  }
}

function drawArrival(
  random: RandomGenerator,
  workload: Workload,
  at: number,
): Arrival {
  let left = randomInt(random, 1_000_000) / 1_000_000;
  const kind =
    workload.kinds.find((candidate) => (left -= candidate.share) < 0) ??
      workload.kinds[0];
  if (!kind) throw new Error("Workload has no kinds of requests");
  const group = kind.groups > 0 ? drawGroup(random, kind) : 0;
  const shared = kind.groups > 0 ? sharedTokensOf(kind, group) : 0;
  const drawn = drawBetween(random, kind.prompt);
  const unique = Math.max(40, Math.round(shared * kind.uniqueShare));
  const promptTokens = shared > 0 ? shared + unique : drawn;
  const outputTokens = drawBetween(random, kind.output);
  return { at, kind, group, sharedTokens: shared, promptTokens, outputTokens };
}

/**
 * Returns the requests per second that the fleet can serve if all shared
 * prefixes are cached.
 */
export function capacityOf(workload: Workload): number {
  const sample = drawArrivals(workload, 100, 60_000, 99);
  const { engine, layout: { upstreams } } = workload;
  const prefills =
    upstreams.filter((upstream) => upstream.role === "prefill").length;
  const decodes = upstreams.length - prefills;
  const mean = (value: (arrival: Arrival) => number): number =>
    sample.reduce((sum, arrival) => sum + value(arrival), 0) / sample.length;
  const uncached = mean((arrival) => uncachedTokens(arrival));
  const slots = Math.min(
    engine.slots,
    Math.floor((35 * 0.92 - engine.stepBaseMs) / engine.stepPerRequestMs),
  );
  const stepMs = engine.stepBaseMs + engine.stepPerRequestMs * slots;
  const decodeMs = mean((arrival) => arrival.outputTokens) * stepMs;
  const byPrefill = prefills * engine.prefillRate / uncached;
  const byDecode = decodes * slots / decodeMs * 1000;
  const transferMs = mean((arrival) => arrival.promptTokens) *
    engine.transferMsPerToken;
  const byLink = prefills * 1000 / transferMs;
  return Math.min(byPrefill, byDecode, byLink);
}

/** Returns the tokens of a request's prefill if its shared prefix is cached. */
export function uncachedTokens(arrival: Arrival): number {
  const cached = Math.floor(arrival.sharedTokens / 256) * 256;
  return arrival.promptTokens - cached;
}
