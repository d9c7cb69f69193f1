/**
 * Decides whether a plain service accepts a call. Answers the load of more
 * calls than the replicas can run: queues would grow until all calls are late,
 * so calls that would be late anyway are refused at once.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Time that a response needs from its replica to the caller. */
export const RESPONSE_MS: Milliseconds = 20;

/** A call and the state of its service. */
export type PlainCall = {
  /** When its replica ends it, as predicted. */
  readonly endAt: Milliseconds;
  /** When its objective ends. */
  readonly dueAt: Milliseconds;
  /** When its caller stops waiting; Infinity if unknown. */
  readonly deadlineAt: Milliseconds;
  /** It was refused before and a place was booked for it. */
  readonly hasPlace: boolean;
  /**
   * More calls arrive than the replicas can run, so that a call that is late
   * delays others that can still meet their objectives.
   */
  readonly isOverloaded: boolean;
};

/** Whether to accept the call; otherwise it is refused at once. */
export function admitsCall(call: PlainCall): boolean {
  const answeredAt = call.endAt + RESPONSE_MS;
  if (answeredAt > call.deadlineAt) return false;
  return call.hasPlace || !call.isOverloaded || answeredAt <= call.dueAt;
}
