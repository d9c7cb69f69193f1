/** Decides whether a response belongs to the call that waits for one. */

/** Node.js accepts lower status codes in a response, but does not send them. */
const MIN_STATUS = 100;
const MIN_ERROR_STATUS = 400;

/** What identifies a response. */
export type ResponseOrigin = {
  readonly status: number;
  /** Id of the call that the response names. */
  readonly id?: string;
  /** Its connection has carried another call. */
  readonly isReused: boolean;
};

/**
 * Whether a response belongs to the call with this id. Errors may lack the id; on
 * a connection that has carried another call, such an error may be the second
 * copy of that one's response. One with an invalid status belongs to none.
 */
export function isOwnResponse(
  callId: string | undefined,
  { status, id, isReused }: ResponseOrigin,
): boolean {
  if (status < MIN_STATUS) return false;
  if (id === undefined) return status >= MIN_ERROR_STATUS && !isReused;
  return id === callId;
}
