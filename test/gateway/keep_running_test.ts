/** Guards against one error ending a loop that a host needs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { keepRunning } from "../../src/gateway/keep_running.ts";

test("a loop that fails is reported and started again until it returns", async () => {
  const errors: unknown[] = [];
  let runs = 0;
  const loop = () => {
    runs += 1;
    return runs < 3
      ? Promise.reject(new Error(`run ${runs}`))
      : Promise.resolve();
  };
  const clock = {
    now: () => 0,
    after: (_delayMs: number, callback: () => void) => {
      queueMicrotask(callback);
      return () => undefined;
    },
  };
  await keepRunning(loop, { clock, onError: (error) => errors.push(error) });
  assert.equal(runs, 3);
  assert.deepEqual(errors.map(String), ["Error: run 1", "Error: run 2"]);
});
