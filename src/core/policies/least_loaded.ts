/** Baseline: the shortest prefill queue, blind to caches. */
import { baseline } from "./baseline.ts";
import {
  choice,
  emptiestDecode,
  least,
  type Policy,
  queueMs,
} from "./policy.ts";

/** Takes the prefill upstream with the shortest queue. */
export const leastLoaded: Policy = baseline("least-loaded", (query, pool) => {
  const decode = emptiestDecode(query, pool);
  const prefill = least(pool.prefill, queueMs);
  if (!decode || !prefill) return undefined;
  return choice(query, decode, prefill);
});
