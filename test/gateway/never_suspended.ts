import { SuspensionWatch } from "../../src/gateway/suspension.ts";

/** A suspension watch, for tests, whose clocks never differ. */
export function neverSuspended(): SuspensionWatch {
  return new SuspensionWatch({ monotonicNow: () => 0, wallClockNow: () => 0 });
}
