/** A machine that is never suspended, for tests. */
import { SuspensionWatch } from "../../src/gateway/suspension.ts";

/** Both clocks go alike. */
export function neverSuspended(): SuspensionWatch {
  return new SuspensionWatch({ steadyNow: () => 0, dayNow: () => 0 });
}
