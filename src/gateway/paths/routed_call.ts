/** Tries a call over one path and then over another. */
import type { Call, CallOptions, CallOutcome } from "../upstreams/call.ts";

/** What is sent, whichever connection is used. */
export type HttpCall = Omit<
  CallOptions,
  "address" | "agent" | "clock" | "connectTimeoutMs"
>;

/**
 * Starts a call. If it could not be sent over the first path, the next one is
 * used; `select` returns the outcome if it could be sent over none.
 */
export function startRoutedCall(
  paths: readonly (() => Call)[],
  select: (outcomes: readonly CallOutcome[]) => CallOutcome,
): Call {
  let current: Call | undefined;
  let isAborted = false;
  const run = async () => {
    const outcomes: CallOutcome[] = [];
    for (const start of paths) {
      current = start();
      const outcome = await current.outcome;
      const isSent = outcome.type !== "notSent";
      if (isSent || outcome.isWithheld || isAborted) return outcome;
      outcomes.push(outcome);
    }
    return select(outcomes);
  };
  return {
    outcome: run(),
    abort: (reason) => {
      isAborted = true;
      current?.abort(reason);
    },
  };
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
