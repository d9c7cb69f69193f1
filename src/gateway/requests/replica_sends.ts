/** Counts how often each request was sent to each replica. */
import type { GatewayRequest } from "./request.ts";

/** The counts by incarnation; they end with their request. */
const SENDS = new WeakMap<GatewayRequest, Map<string, number>>();

/** Counts a send, and returns the number of those before it. */
export function countSend(
  request: GatewayRequest,
  incarnation: string,
): number {
  const counts = SENDS.get(request) ?? new Map<string, number>();
  SENDS.set(request, counts);
  const earlier = counts.get(incarnation) ?? 0;
  counts.set(incarnation, earlier + 1);
  return earlier;
}
