/** Records responses that were interrupted. */
import type { GatewayContext } from "../context.ts";
import type { BrokenSendDetails } from "../crashes/broken_sends.ts";
import type { Replica } from "../replicas/replica.ts";
import type { GatewayRequest } from "./request.ts";

/**
 * Records an interrupted response; `endedByReplica` is false if this host
 * aborted it.
 */
export function noteInterruption(
  { crashes, starts }: GatewayContext,
  { fingerprints }: GatewayRequest,
  { entry }: Replica,
  send: Pick<BrokenSendDetails, "sentAt" | "endedByReplica">,
): void {
  if (send.endedByReplica) starts.noteEnd(entry);
  crashes.noteBrokenSend(entry, { fingerprints, ...send });
}
