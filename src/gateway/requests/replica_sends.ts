/** Records the replicas that each request was sent to. */
import type { GatewayRequest } from "./request.ts";

/** The incarnations; they end with their request. */
const SENDS = new WeakMap<GatewayRequest, Set<string>>();

/** Records a send; returns whether the request was sent there before. */
export function recordSend(
  request: GatewayRequest,
  incarnation: string,
): boolean {
  const sends = SENDS.get(request) ?? new Set<string>();
  SENDS.set(request, sends);
  const isResend = sends.has(incarnation);
  sends.add(incarnation);
  return isResend;
}
