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
  (target) => ({
    ...target,
    usedBeforeMs: usedMs(target.pid),
    isStopped: false,
  }),
);

/** Processor time of all threads of a process; 0 if it has ended. */
function usedMs(pid: number): number {
  const folder = `/proc/${pid}/task`;
  const nanoseconds = threadsIn(folder).map((thread) =>
    usedByThread(`${folder}/${thread}/schedstat`)
  );
  return nanoseconds.reduce((sum, used) => sum + used, 0) /
    NANOSECONDS_PER_MS;
}

/** The threads of a process; none if it has ended. */
function threadsIn(folder: string): string[] {
  try {
    return readdirSync(folder);
  } catch {
    return [];
  }
}

/** Processor time of a thread in nanoseconds; 0 if it has ended. */
function usedByThread(file: string): number {
  try {
    return Number(readFileSync(file, "utf8").split(" ")[0]);
  } catch {
    return 0;
  }
}

/** What a process has used and not been allowed yet. */
function spentMsOf(target: Limited): number {
  const used = usedMs(target.pid);
  // The time of a thread that has ended is no longer counted.
  target.usedBeforeMs = Math.min(target.usedBeforeMs, used);
  return used - target.usedBeforeMs;
}

function signal({ pid }: LimitedProcess, name: "SIGSTOP" | "SIGCONT"): void {
  try {
    process.kill(pid, name);
  } catch {
    // The process has ended.
  }
}

function startPeriod(): void {
  for (const target of limited) {
    // What was used beyond the share counts in the next period.
    const allowedMs = target.share * PERIOD_MS;
    const spentMs = spentMsOf(target);
    target.usedBeforeMs += Math.min(spentMs, allowedMs);
    if (!target.isStopped || spentMs >= 2 * allowedMs) continue;
    target.isStopped = false;
    signal(target, "SIGCONT");
  }
}

function stopSpent(): void {
  for (const target of limited) {
    if (target.isStopped) continue;
    const spentMs = spentMsOf(target);
    if (spentMs < target.share * PERIOD_MS) continue;
    target.isStopped = true;
    signal(target, "SIGSTOP");
  }
}

const periods = setInterval(startPeriod, PERIOD_MS);
const polls = setInterval(stopSpent, POLL_INTERVAL_MS);
parentPort?.once("message", () => {
  clearInterval(periods);
  clearInterval(polls);
  for (const target of limited) signal(target, "SIGCONT");
  parentPort?.close();
});
