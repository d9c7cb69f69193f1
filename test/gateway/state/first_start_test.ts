/** Tests the first start of a large fleet, in virtual time. */
import { test } from "node:test";
import {
  assertCalm,
  assertServing,
  startFleet,
  STARTUP_MS,
} from "./large_fleet.ts";

// Guards against hosts that list all replicas again and again where the
// store has no rows of hosts yet, so that they know the few seeds of their
// settings only.
test("330 hosts that start for the first time list the replicas within 5 s", async () => {
  const fleet = startFleet(330, { knowsAll: false });
  await fleet.runTo(STARTUP_MS);
  assertServing(fleet);
  await fleet.runTo(2 * STARTUP_MS);
  await assertCalm(fleet);
});
