/** What the baselines share: no waiting at the planner and no refusals. */
import type { Chooser, Policy } from "./policy.ts";

/** Makes a policy that places at once and refuses nothing. */
export function baseline(name: string, choose: Chooser): Policy {
  return { name, choose, aheadMs: Infinity, refusesLate: false };
}
