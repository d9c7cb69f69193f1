/**
 * Baselines after "Sticky Until Saturated" (llm-d 1.0, as described in
 * "llm-d 1.0: Cache-Affinity-Routing soll GPU-Kosten senken"): stay with an
 * upstream that has most of the prompt cached, until its queue passes tau.
 */
import { baseline } from "./baseline.ts";
import {
  type Candidate,
  choice,
  emptiestDecode,
  least,
  type Policy,
  type Query,
} from "./policy.ts";

/** Share of the prompt that must be cached for an upstream to be warm. */
const AFFINITY_THRESHOLD = 0.8;

/** Stays with a warm upstream while its queue holds at most `tau` tokens. */
export function stickyUntilSaturated(
  tau: number,
  name = "sticky-until-saturated",
): Policy {
  return baseline(name, (query, pool) => {
    const decode = emptiestDecode(query, pool);
    const coolest = least(pool.prefill, (one) => one.queueTokens);
    if (!decode || !coolest) return undefined;
    const warm = pool.prefill.filter((one) => isWarm(query, one));
    const best = least(warm, (one) => one.queueTokens);
    const stays = best !== undefined && best.queueTokens <= tau;
    return choice(query, decode, stays ? best : coolest);
  });
}

/** Stays with a warm upstream however long its queue is. */
export const alwaysSticky: Policy = stickyUntilSaturated(
  Infinity,
  "always-sticky",
);

function isWarm(query: Query, one: Candidate): boolean {
  return one.cachedTokens >= query.promptTokens * AFFINITY_THRESHOLD;
}
