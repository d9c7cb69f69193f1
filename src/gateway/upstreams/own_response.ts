/** Decides whether a response belongs to the call that waits for one. */
import type { CarriedCalls } from "./carried_calls.ts";

/** Node.js accepts lower status codes in a response, but does not send them. */
const MIN_STATUS = 100;
const MIN_ERROR_STATUS = 400;

/** What identifies a response. */
export type ResponseOrigin = {
  readonly status: number;
  /** Id of the call that the response names. */
  readonly id?: string;
  /** What its connection had carried before the call. */
  readonly carried: CarriedCalls;
};

/**
 * Whether a response belongs to the call with this id: no earlier call on its
 * connection can have caused it. A replica may send a response twice, or late, in
 * the place of the next one. A success names the call if that has an id; an error
 * need not, but then it may belong to any call of its connection.
 */
export function isOwnResponse(
  callId: string | undefined,
  { status, id, carried }: ResponseOrigin,
): boolean {
  if (status < MIN_STATUS) return false;
  if (id !== undefined) return id === callId && !carried.hasSameId;
  if (carried.count > 0) return false;
  return callId === undefined || status >= MIN_ERROR_STATUS;
}
