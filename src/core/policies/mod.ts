/** Policies: functions that choose a prefill and a decode upstream. */
export type {
  Candidate,
  Choice,
  Chooser,
  Policy,
  Pool,
  Query,
} from "./policy.ts";
export { roundRobin } from "./round_robin.ts";
export { leastLoaded } from "./least_loaded.ts";
export { alwaysSticky, stickyUntilSaturated } from "./sticky.ts";
export { AHEAD_MS, costChooser, predictedCost } from "./predicted_cost.ts";
export { choosePlain } from "./policy.ts";
