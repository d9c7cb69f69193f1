/** Decides whether a request may be sent at all, to whichever replica. */
import { GatewayError } from "../answers.ts";
import { refusalOf } from "../crashes/refusal.ts";
import type { Attempts } from "./attempts.ts";
import { refusalWhenNoneAvailable } from "./availability.ts";
import { type Failure, failureOf } from "./reply_writer.ts";
import type { RequestJournal } from "./request_journal.ts";
import type { RequestState } from "./send_placed.ts";
import { shortageFields } from "./stop_check.ts";

/** An error and what is known of its cause. */
export type SendRefusal = readonly [GatewayError, Failure];

/**
 * Refuses a request that is quarantined because replicas crash under it, or
 * that can't be finished before this host exits. Called before placement and
 * again before the send, since either may begin while the request waits for an
 * assignment.
 */
export function sendRefusal(
  { context: { crashes, clock }, request, time }: RequestState,
  journal: RequestJournal,
): SendRefusal | undefined {
  const quarantine = crashes.quarantineOf(request.fingerprints);
  if (quarantine) {
    journal.quarantined(quarantine);
    return refusalOf(quarantine, clock.now());
  }
  const { shortage } = time;
  if (!shortage) return undefined;
  return [GatewayError.stopping, { basis: shortageFields(shortage) }];
}

/** The error of a request whose time is over. */
export function timeoutError(
  { mayHaveRun }: Pick<Attempts, "mayHaveRun">,
): GatewayError {
  return mayHaveRun ? GatewayError.outOfTime : GatewayError.outOfTimeNotRun;
}

/**
 * The refusal of a request that replicas rejected. If all of them back off, the
 * caller should not retry before one reopens.
 */
export function rejection(
  { context, request, binding: { requiredVersion } }: RequestState,
  reason: string,
): SendRefusal {
  const options = { request, requiredVersion };
  const refusal = refusalWhenNoneAvailable(context, options);
  const { retryAfterSeconds } = refusal ? failureOf(refusal) : {};
  return [GatewayError.refusedByReplicas, { reason, retryAfterSeconds }];
}
