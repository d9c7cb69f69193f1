/** Waits by turns of the event loop. */

/** Resolves after some turns of the event loop. */
export async function turns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
