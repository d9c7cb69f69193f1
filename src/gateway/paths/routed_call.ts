/** Tries a call over one connection or path and then over another. */
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
  return startInTurn([first, second], select, isFinal);
}

/**
 * Starts a call that must not share a connection with an earlier one of its id:
 * over a shared connection and, if that has carried the id, over its own.
 */
export function startUnrepeatedCall(shared: () => Call, own: () => Call): Call {
  return startInTurn(
    [shared, own],
    (_, outcome) => outcome,
    (outcome) =>
      outcome.type !== "notSent" || outcome.cause !== NotSentCause.idUsed,
  );
}

/** Starts the second call once the first one has ended with no final outcome. */
function startInTurn(
  [first, second]: readonly [() => Call, () => Call],
  select: (first: CallOutcome, second: CallOutcome) => CallOutcome,
  isFinal: (outcome: CallOutcome) => boolean,
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

/** Causes for which another path would not help, or must not be used. */
const FINAL_CAUSES: ReadonlySet<NotSentCause> = new Set([
  NotSentCause.withheld,
  NotSentCause.queued,
  NotSentCause.idUsed,
  NotSentCause.invalid,
]);

/** Whether the call was sent, or must not be sent over another path either. */
function isFinal(outcome: CallOutcome): boolean {
  return outcome.type !== "notSent" || FINAL_CAUSES.has(outcome.cause);
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
