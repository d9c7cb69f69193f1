/**
 * Our policy: one cost in one unit, the predicted time to the first token,
 * with a charge for the cache space that a cold prefill takes from others.
 */
import type { Milliseconds } from "../../util/units.ts";
import {
  type Candidate,
  type Choice,
  choice,
  choiceFromExport,
  type Chooser,
  emptiestDecode,
  farCharge,
  hasSlot,
  least,
  linkWaitMs,
  type Policy,
  type Pool,
  type Query,
  queueMs,
  uncached,
} from "./policy.ts";

/**
 * Charge for each token prefilled cold, as a share of the time that it takes:
 * it evicts about one token that another request would have hit. See
 * docs/design/placement.md for the sweep behind the value.
 */
export const EVICTION_CHARGE = 0.5;

/** Age at which a block to be evicted costs half the charge. */
const EVICTION_MS = 10_000;

/** A prefill beside decodes slows them: charge per decoding request. */
const DISTURBANCE = 0.02;

/**
 * Work given to a prefill upstream ahead of time: enough to keep it busy over
 * a round trip and a report, little enough that the order stays open.
 */
export const AHEAD_MS = 60;

/** What a wholly occupied decode upstream would cost a request. */
const FULL_MS = 200;

/** Makes the chooser with a given eviction charge. */
export function costChooser(evictionCharge: number): Chooser {
  return (query, pool) => {
    if (query.exportUpstream !== "") return choiceFromExport(query, pool);
    const split = splitChoice(query, pool, evictionCharge);
    const whole = wholeChoice(query, pool);
    if (!split || !whole) return split ?? whole;
    return wholeCost(whole) <= split.predictedMs ? whole : split;
  };
}

/** The policy that the router uses. */
export const predictedCost: Policy = {
  name: "predicted-cost",
  choose: costChooser(EVICTION_CHARGE),
  aheadMs: AHEAD_MS,
  refusesLate: true,
};

function splitChoice(
  query: Query,
  pool: Pool,
  evictionCharge: number,
): Choice | undefined {
  const decode = emptiestDecode(query, pool);
  if (!decode) return undefined;
  const onTime = pool.prefill.filter((one) =>
    choice(query, decode, one).predictedMs <= query.slackMs
  );
  const prefill = least(
    onTime.length > 0 ? onTime : pool.prefill,
    (one) => prefillCost(query, one, evictionCharge),
  );
  return prefill && choice(query, decode, prefill);
}

function prefillCost(
  query: Query,
  one: Candidate,
  evictionCharge: number,
): Milliseconds {
  const workMs = uncached(query, one) / one.rate * 1000;
  const waitMs = queueMs(one) + linkWaitMs(query, one);
  const fresh = EVICTION_MS / (EVICTION_MS + one.victimAgeMs);
  const charge = evictionCharge * (1 + fresh);
  return waitMs + workMs * (1 + charge);
}

function wholeChoice(query: Query, pool: Pool): Choice | undefined {
  const fitting = pool.decode.filter((one) =>
    hasSlot(one) && uncached(query, one) <= query.wholePrefillTokens
  );
  const decode = least(
    fitting,
    (one) => wholeCost(choice(query, one)) + farCharge(query, one) * FULL_MS,
  );
  return decode && choice(query, decode);
}

function wholeCost(whole: Choice): Milliseconds {
  const slowdown = 1 + whole.decode.decoding * DISTURBANCE;
  return whole.predictedMs * slowdown;
}
