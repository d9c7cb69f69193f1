/** What a policy is given and what it chooses. */
import type { HallId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Upstream } from "../tables/upstreams.ts";

/** One upstream as seen for one query. */
export type Candidate = {
  readonly upstream: Upstream;
  /** Tokens granted to it that are not prefilled yet. */
  readonly queueTokens: number;
  /** Prompt tokens of this query thought to be in its cache. */
  readonly cachedTokens: number;
  /** For how long the block that it evicts next has not been used. */
  readonly victimAgeMs: Milliseconds;
  /** Prefill tokens a second. */
  readonly rate: number;
  /** Requests that hold a decode slot, those in prefill included. */
  readonly held: number;
  /** Requests that decode now. */
  readonly decoding: number;
  /** Requests that may decode at once within the query's target. */
  readonly slots: number;
  /** Predicted step time with one more request. */
  readonly stepMs: Milliseconds;
  /** Tokens to be moved from here before this query's. */
  readonly transferTokens: number;
};

/** What is asked for. */
export type Query = {
  readonly promptTokens: number;
  /** Uncached prompts up to this size may skip the prefill pool. */
  readonly wholePrefillTokens: number;
  /** The prefill upstream whose export is to be used; "" for none. */
  readonly exportUpstream: string;
  /** The data hall that the answer goes to; "" when it does not matter. */
  readonly hall: HallId;
  /** Time left until the first token is due. */
  readonly slackMs: Milliseconds;
  /** Transfer time of one prompt token on an idle link. */
  readonly transferMsPerToken: Milliseconds;
};

/** The upstreams of one service that may take work now. */
export type Pool = {
  readonly prefill: readonly Candidate[];
  readonly decode: readonly Candidate[];
};

/** Where a request goes and when its first token is expected. */
export type Choice = {
  /** Absent: the decode upstream does the prefill. */
  readonly prefill?: Candidate;
  readonly decode: Candidate;
  readonly uncachedTokens: number;
  readonly cachedTokens: number;
  /** Tokens whose cache is moved. */
  readonly transferTokens: number;
  /** Wait for the prefill and for the link. */
  readonly waitMs: Milliseconds;
  readonly transferMs: Milliseconds;
  /** From now to the first token. */
  readonly predictedMs: Milliseconds;
};

/** Chooses, or finds no free place. */
export type Chooser = (query: Query, pool: Pool) => Choice | undefined;

/** How a planner places requests. */
export type Policy = {
  readonly name: string;
  readonly choose: Chooser;
  /**
   * A prefill upstream is given work until its queue takes this long; what
   * comes later waits at the planner, where it can still be ordered.
   */
  readonly aheadMs: Milliseconds;
  /** Refuses at once what can't meet its first-token target. */
  readonly refusesLate: boolean;
};

/** Whether a decode upstream has a free slot. */
export function hasSlot(candidate: Candidate): boolean {
  return candidate.held < candidate.slots;
}

/** The candidate with the least value, the first of equals. */
export function least(
  candidates: readonly Candidate[],
  value: (one: Candidate) => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestValue = Infinity;
  for (const one of candidates) {
    const its = value(one);
    if (its >= bestValue) continue;
    best = one;
    bestValue = its;
  }
  return best;
}

/**
 * A stream between data halls breaks when they are cut off from each other:
 * a decode upstream in the caller's hall may be this much fuller, as a share
 * of its slots. See docs/design/placement.md for the sweep.
 */
export const HALL_CHARGE = 0.15;

/** The free decode upstream that is least full, rather in the same hall. */
export function emptiestDecode(
  query: Query,
  pool: Pool,
): Candidate | undefined {
  return least(
    pool.decode.filter(hasSlot),
    (one) => one.held / one.slots + farCharge(query, one),
  );
}

/** What being in another data hall counts as, in shares of the slots. */
export function farCharge(query: Query, one: Candidate): number {
  const near = query.hall === "" || one.upstream.hall === query.hall;
  return near ? 0 : HALL_CHARGE;
}

/** Time that the candidate's queue takes. */
export function queueMs(one: Candidate): Milliseconds {
  return one.queueTokens / one.rate * 1000;
}

/** Tokens that the candidate would have to compute. */
export function uncached(query: Query, one: Candidate): number {
  return Math.max(1, query.promptTokens - one.cachedTokens);
}

/** Time that the link is still busy with others once the prefill is done. */
export function linkWaitMs(query: Query, one: Candidate): Milliseconds {
  const busyMs = one.transferTokens * query.transferMsPerToken;
  const workMs = uncached(query, one) / one.rate * 1000;
  return Math.max(0, busyMs - queueMs(one) - workMs);
}

/** Completes a choice whose upstreams are known. */
export function choice(
  query: Query,
  decode: Candidate,
  prefill?: Candidate,
): Choice {
  const place = prefill ?? decode;
  const cold = uncached(query, place);
  const workMs = cold / place.rate * 1000;
  const waitMs = queueMs(place) + (prefill ? linkWaitMs(query, prefill) : 0);
  const transferTokens = prefill ? query.promptTokens : 0;
  const transferMs = transferTokens * query.transferMsPerToken;
  return {
    decode,
    ...(prefill ? { prefill } : {}),
    uncachedTokens: cold,
    cachedTokens: place.cachedTokens,
    transferTokens,
    waitMs,
    transferMs,
    predictedMs: waitMs + workMs + transferMs + decode.stepMs,
  };
}

/** The choice when an export is at hand: only the decode is open. */
export function choiceFromExport(
  query: Query,
  pool: Pool,
): Choice | undefined {
  const decode = emptiestDecode(query, pool);
  if (!decode) return undefined;
  const transferMs = query.promptTokens * query.transferMsPerToken;
  return {
    decode,
    uncachedTokens: 0,
    cachedTokens: query.promptTokens,
    transferTokens: query.promptTokens,
    waitMs: 0,
    transferMs,
    predictedMs: transferMs + decode.stepMs,
  };
}

/** The choice for a plain service: the emptiest upstream, no prefill. */
export function choosePlain(
  query: Query,
  pool: Pool,
): Choice | undefined {
  const decode = emptiestDecode(query, pool);
  if (!decode) return undefined;
  return {
    decode,
    uncachedTokens: 0,
    cachedTokens: 0,
    transferTokens: 0,
    waitMs: 0,
    transferMs: 0,
    predictedMs: 0,
  };
}
