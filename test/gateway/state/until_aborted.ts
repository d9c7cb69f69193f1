/** Abortable promises. */

/** Settles as `work`, or rejects when the signal aborts. */
export function untilAborted<Value>(
  signal: AbortSignal,
  work: Promise<Value>,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    signal.addEventListener("abort", () => reject(new Error("Aborted")));
    work.then(resolve, reject);
  });
}
