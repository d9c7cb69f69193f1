/** Runs trials on all cores in worker threads. */
import { availableParallelism } from "node:os";
import { isMainThread, parentPort, Worker } from "node:worker_threads";
import { runTrial, type TrialOptions, type TrialResult } from "./trial.ts";

if (!isMainThread) {
  parentPort?.on("message", (trial: TrialOptions) => {
    parentPort?.postMessage(runTrial(trial));
  });
}

/** Runs all trials and returns the results in the same order. */
export async function runTrials(
  trials: readonly TrialOptions[],
): Promise<TrialResult[]> {
  const results: TrialResult[] = [];
  let next = 0;
  const workers = Math.min(availableParallelism(), trials.length);
  await Promise.all(Array.from({ length: workers }, async () => {
    const worker = new Worker(new URL(import.meta.url));
    while (next < trials.length) {
      const index = next;
      next += 1;
      const trial = trials[index];
      if (trial) results[index] = await runInWorker(worker, trial);
    }
    await worker.terminate();
  }));
  return results;
}

function runInWorker(
  worker: Worker,
  trial: TrialOptions,
): Promise<TrialResult> {
  return new Promise((resolve, reject) => {
    worker.removeAllListeners();
    worker.once("message", resolve);
    worker.once("error", reject);
    worker.postMessage(trial);
  });
}
