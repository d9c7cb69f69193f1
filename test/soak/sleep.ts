/** Resolves after a time in milliseconds. */
export function sleep(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}
