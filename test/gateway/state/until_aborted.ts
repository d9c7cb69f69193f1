/** Calls that their caller gives up. */

/** As the work, but rejects when the signal ends the call. */
export function untilAborted<Value>(
  signal: AbortSignal,
  work: Promise<Value>,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    signal.addEventListener("abort", () => reject(new Error("Given up")));
    work.then(resolve, reject);
  });
}
