/** A time limit for calls. */
import type { Milliseconds } from "../../core/ids.ts";
import type { Clock } from "../clock.ts";

/** Runs a call with a time limit; undefined when it fails or takes longer. */
export async function within<Value>(
  clock: Clock,
  timeoutMs: Milliseconds,
  work: (signal: AbortSignal) => Promise<Value>,
): Promise<Value | undefined> {
  const controller = new AbortController();
  const cancel = clock.after(timeoutMs, () => controller.abort());
  try {
    return await work(controller.signal);
  } catch {
    return undefined;
  } finally {
    cancel();
  }
}
