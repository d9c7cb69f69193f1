/** The order of asks that wait at a planner. */
import type { RequestId } from "../request_ids.ts";
import type { Ask, PoolUse } from "../tables/plans.ts";
import { holdingOf } from "./ledger.ts";

/** One step of priority is worth this much slack. */
const PRIORITY_MS = 100;
/** Being over one's fair share by all of it costs this much slack. */
const OVERUSE_MS = 1000;
/**
 * A millisecond of decode slot counts as this much slack, so that short
 * requests go ahead of long ones where slots are short.
 */
const SLOT_TIME_WEIGHT = 0.1;
/** Time between two tokens of a full batch. */
const FULL_STEP_MS = 32;

/** By slack, priority, slot time and fair share; the first goes first. */
export function inOrder(use: PoolUse, queue: Map<RequestId, Ask>): Ask[] {
  const asks = [...queue.values()];
  if (asks.length < 2) return asks;
  const rank = (one: Ask): number =>
    one.due - one.ask.priority * PRIORITY_MS +
    one.ask.maxTokens * FULL_STEP_MS * SLOT_TIME_WEIGHT +
    overuse(use, one) * OVERUSE_MS;
  const ranked = asks.map((ask) => ({ ask, rank: rank(ask) }));
  ranked.sort((a, b) => a.rank - b.rank);
  return ranked.map((one) => one.ask);
}

/** How far the ask's customer is over its fair share, from 0 to 1. */
function overuse(use: PoolUse, ask: Ask): number {
  if (use.held === 0) return 0;
  let shares = 0;
  for (const one of use.holdings.values()) shares += one.share;
  const holding = holdingOf(use, ask.ask.customer);
  const fair = holding.share / Math.max(shares, holding.share);
  return Math.max(0, holding.held / use.held - fair);
}
