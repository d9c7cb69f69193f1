/** How much memory a process has used at most. */
import { readFileSync } from "node:fs";

/** The memory that a host has used at most, and may use. */
export type HostMemory = {
  readonly host: string;
  readonly peakMb: number;
  readonly limitMb: number;
};

const KIB_PER_MIB = 1024;

/** The peak of its resident memory in MiB; 0 where the system doesn't tell. */
export function peakMemoryOf(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const peak = /^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1];
    return Number(peak ?? 0) / KIB_PER_MIB;
  } catch {
    // The process has ended.
    return 0;
  }
}
