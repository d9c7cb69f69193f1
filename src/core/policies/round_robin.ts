/** Baseline: each upstream in its turn. */
import { baseline } from "./baseline.ts";
import { type Candidate, choice, hasSlot, type Policy } from "./policy.ts";

/** Makes a policy that takes prefill and decode upstreams in turn. */
export function roundRobin(): Policy {
  let turn = 0;
  return baseline("round-robin", (query, pool) => {
    const free = pool.decode.filter(hasSlot);
    const decode = inTurn(free, turn);
    const prefill = inTurn(pool.prefill, turn);
    if (!decode || !prefill) return undefined;
    turn += 1;
    return choice(query, decode, prefill);
  });
}

function inTurn(
  candidates: readonly Candidate[],
  turn: number,
): Candidate | undefined {
  return candidates[turn % candidates.length];
}
