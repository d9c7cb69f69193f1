/** Runs trials on all cores, each in a worker thread. */
import { availableParallelism } from "node:os";
import { isMainThread, parentPort, Worker } from "node:worker_threads";
import { runTrial, type TrialResult, type TrialSource } from "./trial.ts";

if (!isMainThread) {
  parentPort?.on("message", (source: TrialSource) => {
    parentPort?.postMessage(runTrial(source));
  });
}

/** Runs all trials; the results are in the order of the sources. */
export async function runTrials(
  sources: readonly TrialSource[],
): Promise<TrialResult[]> {
  const results: TrialResult[] = [];
  let next = 0;
  const workers = Math.min(availableParallelism(), sources.length);
  await Promise.all(Array.from({ length: workers }, async () => {
    const worker = new Worker(new URL(import.meta.url));
    while (next < sources.length) {
      const place = next;
      next += 1;
      const source = sources[place];
      if (source) results[place] = await ask(worker, source);
    }
    await worker.terminate();
  }));
  return results;
}

function ask(worker: Worker, source: TrialSource): Promise<TrialResult> {
  return new Promise((resolve, reject) => {
    worker.removeAllListeners();
    worker.once("message", resolve);
    worker.once("error", reject);
    worker.postMessage(source);
  });
}
