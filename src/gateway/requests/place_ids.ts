/** Names of places. */
import type { GatewayContext } from "../context.ts";

let placeCount = 0;

/** A name that no other host and no other run of this one gives. */
export function nextPlaceId(context: GatewayContext): string {
  placeCount += 1;
  return `${context.self.id}/${context.self.run}/${placeCount}`;
}
