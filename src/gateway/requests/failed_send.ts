/** Records a send to a replica that brought no response. */
import type { Clock } from "../clock.ts";
import { discardBody } from "../upstreams/discard_body.ts";
import type { Attempt, RaceOutcome } from "./attempt_race.ts";
import type { Attempts } from "./attempts.ts";
import type { LaneAttempt } from "./second_attempt.ts";
import type { SendResult } from "./sender.ts";

/** A send that brought no response. */
export type FailedSend = Extract<SendResult, { type: "notRun" | "unknown" }>;

/** Reports a failed send and counts it as one of the request's attempts. */
export function noteFailedSend(
  attempts: Attempts,
  { placed, placer }: Pick<Attempt, "placed" | "placer">,
  result: FailedSend,
): void {
  const notRun = result.type === "notRun";
  const rejected = notRun && result.rejected;
  const isBackoff = notRun && result.isBackoff;
  const { isLocal } = result;
  placer.failed({ rejected, isBackoff, isLocal });
  const arrived = !notRun || result.arrived;
  if (!arrived) attempts.noteNotArrived();
  else if (notRun) attempts.noteNotRun();
  // If only the export was lost, the same replica can still run the request.
  const exportLost = rejected && !isBackoff && placed.export !== undefined;
  // The gate excludes a replica that backs off until the backoff ends. If
  // only this host's path failed, a peer can still reach the replica.
  const mayAccept = exportLost || isBackoff || (!notRun && isLocal);
  if (!mayAccept) attempts.exclude(placed.replica.entry.incarnation);
}

/** Records an attempt that failed while another one of the request goes on. */
export function noteFailedAttempt(
  { attempts, clock }: { readonly attempts: Attempts; readonly clock: Clock },
  { attempt: { placed, placer, meter }, result }: RaceOutcome<LaneAttempt>,
): void {
  switch (result.type) {
    case "answer": {
      const { message } = result.answer;
      discardBody(result.answer, clock);
      meter.complete(message.statusCode ?? 0);
      return attempts.exclude(placed.replica.entry.incarnation);
    }
    case "closed":
      placer.release();
      return attempts.noteNotArrived();
    default:
      return noteFailedSend(attempts, { placed, placer }, result);
  }
}
