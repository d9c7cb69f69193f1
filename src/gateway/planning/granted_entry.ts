/** Builds the ledger's record of an assignment. */
import type { Milliseconds } from "../../util/units.ts";
import type { EngineAssignment } from "./engine_choice.ts";
import type { Ledger, LedgerEntry } from "./ledger.ts";
import type { PlanRequest } from "./messages.ts";
import type { QueuedRequest } from "./request_queue.ts";

/** TTL of an assignment whose host reports nothing. */
export const ASSIGNMENT_TTL_MS: Milliseconds = 20_000;

/** The record of an assignment that is granted now. */
export function grantedEntry(
  ledger: Pick<Ledger, "backlogAt">,
  { host, request }: Pick<QueuedRequest, "host" | "request">,
  assignment: EngineAssignment,
  now: Milliseconds,
): LedgerEntry {
  const { id, service, hall, tokens, promptTokens, key } = request;
  const { outputTokens, priority, customer } = request;
  const prefill = assignment.prefill?.incarnation;
  return {
    id,
    service,
    host,
    hall,
    decode: assignment.decode.incarnation,
    tokens,
    prefill,
    prefilledBy: prefill,
    promptTokens,
    outputTokens,
    priority,
    customer,
    key,
    ...plainDetails(request),
    tokensAhead: prefill === undefined ? 0 : ledger.backlogAt(prefill),
    grantedAt: now,
    expiresAt: now + ASSIGNMENT_TTL_MS,
  };
}

/** What the ledger records of a plain call that is counted by its route. */
function plainDetails(
  { route, afterError, excluded }: PlanRequest,
): Pick<LedgerEntry, "route" | "retriedFrom"> {
  if (route === undefined) return {};
  return { route, ...(afterError ? { retriedFrom: excluded } : {}) };
}
