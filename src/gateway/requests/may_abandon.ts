/** Decides whether a request gives up a replica that has fallen silent. */
import type { Replica } from "../replicas/replica.ts";
import type { RequestState } from "./send_placed.ts";
import { hasOtherReplica } from "./sender.ts";

/**
 * Whether a request may abandon a silent replica: it fails other calls, too, and
 * another one can finish the request. Otherwise the replica may go on.
 */
export function mayAbandon(
  { context, request, attempts, binding, time }: RequestState,
  replica: Replica,
): boolean {
  if (!replica.isPaused(context.clock.now()) || time.shortage) return false;
  return hasOtherReplica(context, request, {
    entry: replica.entry,
    excluded: attempts.excluded,
    requiredVersion: binding.requiredVersion,
  });
}
