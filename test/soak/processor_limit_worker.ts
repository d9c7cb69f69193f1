/** The thread of a {@link ProcessorLimit}. */
import { readdirSync, readFileSync } from "node:fs";
import { parentPort, workerData } from "node:worker_threads";
import type { LimitedProcess } from "./processor_limit.ts";

const PERIOD_MS = 100;
const POLL_INTERVAL_MS = 4;
const NANOSECONDS_PER_MS = 1e6;

type Limited = LimitedProcess & {
  usedBeforeMs: number;
  isStopped: boolean;
};

const limited: Limited[] = (workerData as readonly LimitedProcess[]).map(
  (process) => ({
    ...process,
    usedBeforeMs: usedMs(process.pid),
    isStopped: false,
  }),
);

/** Processor time of all threads of a process; 0 if it has ended. */
function usedMs(pid: number): number {
  const folder = `/proc/${pid}/task`;
  try {
    const nanoseconds = readdirSync(folder).map((thread) => {
      const text = readFileSync(`${folder}/${thread}/schedstat`, "utf8");
      return Number(text.split(" ")[0]);
    });
    return nanoseconds.reduce((sum, used) => sum + used, 0) /
      NANOSECONDS_PER_MS;
  } catch {
    return 0;
  }
}

function signal({ pid }: LimitedProcess, name: "SIGSTOP" | "SIGCONT"): void {
  try {
    process.kill(pid, name);
  } catch {
    // The process has ended.
  }
}

function startPeriod(): void {
  for (const process of limited) {
    // What was used beyond the share counts in the next period.
    const allowedMs = process.share * PERIOD_MS;
    const spentMs = usedMs(process.pid) - process.usedBeforeMs;
    process.usedBeforeMs += Math.min(spentMs, allowedMs);
    if (!process.isStopped || spentMs >= 2 * allowedMs) continue;
    process.isStopped = false;
    signal(process, "SIGCONT");
  }
}

function stopSpent(): void {
  for (const process of limited) {
    if (process.isStopped) continue;
    const spentMs = usedMs(process.pid) - process.usedBeforeMs;
    if (spentMs < process.share * PERIOD_MS) continue;
    process.isStopped = true;
    signal(process, "SIGSTOP");
  }
}

const periods = setInterval(startPeriod, PERIOD_MS);
const polls = setInterval(stopSpent, POLL_INTERVAL_MS);
parentPort?.once("message", () => {
  clearInterval(periods);
  clearInterval(polls);
  for (const process of limited) signal(process, "SIGCONT");
  parentPort?.close();
});
