/** Which requests crash the replica stand-in that runs them. */
import { sharedPartsOf } from "./prompt_header.ts";
import type { ReplicaRole } from "./replica_standin.ts";

/** A request with this body crashes any replica. */
export const CRASHING_BODY = "crashes its replica";
/**
 * A request with this part in its prompt, other than as the last one, crashes
 * the decode replica that begins to write its response.
 */
export const CRASHING_PART = "bad0c0de";

/** Whether a request crashes the replica that begins to run it. */
export function crashesReplica(
  { role, body, prompt }: {
    readonly role: ReplicaRole;
    readonly body: string;
    /** The header that names the parts of its prompt. */
    readonly prompt: string;
  },
): boolean {
  if (body === CRASHING_BODY) return true;
  return role === "decode" && sharedPartsOf(prompt).includes(CRASHING_PART);
}
