/** Runs a workload: open loop, each request at its intended time. */
import { type Outcome, send } from "./send.ts";
import { generateArrivals, type Workload } from "./workload.ts";

/** Sends a workload to entry hosts in turn; ends when all have answered. */
export async function runLoad(
  workload: Workload,
  targets: readonly string[],
): Promise<Outcome[]> {
  const start = performance.now();
  const sent = generateArrivals(workload).map(async (arrival, place) => {
    await sleepUntil(start + arrival.at);
    const target = targets[place % targets.length] ?? "";
    return await send(arrival, target, start + arrival.at);
  });
  return await Promise.all(sent);
}

function sleepUntil(time: number): Promise<void> {
  const wait = Math.max(0, time - performance.now());
  return new Promise((resolve) => setTimeout(resolve, wait));
}
