/** Tries a call over one path and then over another. */
import {
  type Call,
  type CallOptions,
  type CallOutcome,
  NotSentCause,
} from "../upstreams/call.ts";

/** What is sent, whichever connection is used. */
export type HttpCall = Omit<
  CallOptions,
  "address" | "agent" | "clock" | "connectTimeoutMs"
>;

/**
 * Starts a call over the first path and, if it could not be sent, over the
 * second one. If it could be sent over neither, `select` returns the outcome.
 */
export function startRoutedCall(
  [first, second]: readonly [() => Call, () => Call],
  select: (first: CallOutcome, second: CallOutcome) => CallOutcome,
): Call {
  let current = first();
  let isAborted = false;
  const run = async () => {
    const outcome = await current.outcome;
    if (isFinal(outcome) || isAborted) return outcome;
    current = second();
    const other = await current.outcome;
    return isFinal(other) || isAborted ? other : select(outcome, other);
  };
  return {
    outcome: run(),
    abort: (reason) => {
      isAborted = true;
      current.abort(reason);
    },
  };
}

/** Whether the call was sent, or must not be sent over another path either. */
function isFinal(outcome: CallOutcome): boolean {
  return outcome.type !== "notSent" ||
    outcome.cause === NotSentCause.withheld ||
    outcome.cause === NotSentCause.invalid;
}

/** The call, with `onConnected` called before it is sent. */
export function onceConnected(
  call: HttpCall,
  onConnected: () => void,
): HttpCall {
  return {
    ...call,
    maySend: () => {
      onConnected();
      return call.maySend?.() ?? true;
    },
  };
}
