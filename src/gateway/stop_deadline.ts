/** When a stopping host ends what it has not finished. */
import type { Milliseconds } from "../util/units.ts";
import type { GatewayContext } from "./context.ts";

/** Part of the grace period that is reserved for the exit itself. */
const EXIT_MARGIN_MS: Milliseconds = 500;

/** When open requests are ended; undefined: no stop was requested. */
export function stopDeadline(
  { requestedAt, graceMs }: GatewayContext["stop"],
): Milliseconds | undefined {
  return requestedAt === undefined
    ? undefined
    : requestedAt + graceMs - EXIT_MARGIN_MS;
}
