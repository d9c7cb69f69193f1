/** Runs a workload open-loop: sends each request at its scheduled time. */
import { type Outcome, send } from "./send.ts";
import { generateArrivals, type Workload } from "./workload.ts";

/** Sends a workload round-robin to entry hosts; resolves with all outcomes. */
export async function runLoad(
  workload: Workload,
  targets: readonly string[],
): Promise<Outcome[]> {
  const start = performance.now();
  const outcomes = generateArrivals(workload).map(async (arrival, index) => {
    await sleepUntil(start + arrival.at);
    const target = targets[index % targets.length] ?? "";
    return await send(arrival, target, start + arrival.at);
  });
  return await Promise.all(outcomes);
}

function sleepUntil(time: number): Promise<void> {
  const delay = Math.max(0, time - performance.now());
  return new Promise((resolve) => setTimeout(resolve, delay));
}
