/** Calls of the platform's table that wait for their answers. */
import type { Milliseconds } from "../../util/units.ts";
import type { TableCall } from "../tables/claims.ts";
import type { World } from "../world.ts";

/** Notes a call and gives its number. */
export function openCall(
  world: World,
  now: Milliseconds,
  call: Omit<TableCall, "startedAt">,
): number {
  const number = world.nextCall;
  world.nextCall += 1;
  world.calls.set(number, { ...call, startedAt: now });
  return number;
}

/** Takes a call off the list; undefined when it was given up before. */
export function closeCall(world: World, number: number): TableCall | undefined {
  const call = world.calls.get(number);
  world.calls.delete(number);
  return call;
}
