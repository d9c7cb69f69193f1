/** Runs a workload open-loop: sends each request at its scheduled time. */
import { type Outcome, send } from "./send.ts";
import { type Arrival, generateArrivals, type Workload } from "./workload.ts";

/** Options of {@link runLoad}. */
export type LoadOptions = {
  /** Addresses of the entry hosts in rotation, asked for each request. */
  targets(): readonly string[];
  /** Further headers of a request; none by default. */
  headers?(arrival: Arrival): Readonly<Record<string, string>>;
};

/** Sends a workload round-robin to entry hosts; resolves with all outcomes. */
export async function runLoad(
  workload: Workload,
  { targets, headers = () => ({}) }: LoadOptions,
): Promise<Outcome[]> {
  const start = performance.now();
  const outcomes = generateArrivals(workload).map(async (arrival, index) => {
    await sleepUntil(start + arrival.at);
    const rotation = targets();
    return await send(arrival, {
      target: rotation[index % rotation.length] ?? "",
      scheduledAt: start + arrival.at,
      headers: headers(arrival),
    });
  });
  return await Promise.all(outcomes);
}

function sleepUntil(time: number): Promise<void> {
  const delay = Math.max(0, time - performance.now());
  return new Promise((resolve) => setTimeout(resolve, delay));
}
