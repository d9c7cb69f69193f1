/** Runs calls with a timeout. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import { afterRunning } from "../running_timer.ts";

/** A call and its timeout. */
export type TimedCall<Value> = {
  readonly clock: Clock;
  readonly timeoutMs: Milliseconds;
  /** Whether a stall of this process is left out of the timeout. */
  readonly countsRunningTime?: boolean;
  work(signal: AbortSignal): Promise<Value>;
  /** Receives the reason of a failure: the call's error, or the timeout. */
  onFault(reason: string, isTimeout: boolean): void;
};

/** Runs a call with a timeout; undefined if it fails or times out. */
export async function withTimeout<Value>(
  call: TimedCall<Value>,
): Promise<Value | undefined> {
  const { clock, timeoutMs, countsRunningTime = false } = call;
  const controller = new AbortController();
  const abort = () => controller.abort();
  const cancel = countsRunningTime
    ? afterRunning(clock, timeoutMs, abort)
    : clock.after(timeoutMs, abort);
  try {
    return await call.work(controller.signal);
  } catch (error) {
    const isTimeout = controller.signal.aborted;
    const reason = isTimeout ? `No answer in ${timeoutMs} ms` : reasonOf(error);
    call.onFault(reason, isTimeout);
    return undefined;
  } finally {
    cancel();
  }
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
