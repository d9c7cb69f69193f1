/** Bounds the time of work. */

/** Resolves with undefined if the work takes longer than the timeout. */
export function withTimeout<Value>(
  work: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(undefined), timeoutMs);
    work.finally(() => clearTimeout(timer)).then(resolve, reject);
  });
}
