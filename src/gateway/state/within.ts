/** A time limit for calls. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";

/** A call and its limits. */
export type LimitedCall<Value> = {
  readonly clock: Clock;
  readonly timeoutMs: Milliseconds;
  work(signal: AbortSignal): Promise<Value>;
  /** Told why there is no value: what the call says, or that it took long. */
  onFault(reason: string): void;
};

/** Runs a call with a time limit; undefined when it fails or takes longer. */
export async function within<Value>(
  call: LimitedCall<Value>,
): Promise<Value | undefined> {
  const { clock, timeoutMs } = call;
  const controller = new AbortController();
  const cancel = clock.after(timeoutMs, () => controller.abort());
  try {
    return await call.work(controller.signal);
  } catch (error) {
    const isLate = controller.signal.aborted;
    call.onFault(isLate ? `No answer in ${timeoutMs} ms` : reasonOf(error));
    return undefined;
  } finally {
    cancel();
  }
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
