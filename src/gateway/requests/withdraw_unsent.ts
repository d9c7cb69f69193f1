/** Ends sends that have not begun. */
import type { Attempts } from "./attempts.ts";
import { AbortReason, type Sending } from "./sender.ts";

/**
 * Ends a send that still waits for a connection, so that it never runs; true if
 * none is in progress afterwards.
 */
export function withdrawUnsent(
  sending: Pick<Sending, "abort" | "hasStarted"> | undefined,
  attempts: Pick<Attempts, "noteNotArrived">,
): boolean {
  if (!sending) return true;
  if (sending.hasStarted()) return false;
  sending.abort(AbortReason.requestEnded);
  attempts.noteNotArrived();
  return true;
}
