/** Settings with all optional decisions switched off. */
import type { Scheduling } from "../../src/gateway/context.ts";

/** All optional decisions switched off. */
export const NO_SCHEDULING: Scheduling = {
  replicaRates: false,
  rateHandover: false,
  measuredSplit: false,
  arrivalDecisions: false,
  measuredMemory: false,
  bookedReturns: false,
  customerShares: false,
  quotaPriorities: false,
  quotaLargeRequests: false,
  errorOrigins: false,
  secondAttempts: false,
  avoidBroken: false,
};
