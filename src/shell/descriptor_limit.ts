/** The limit of the system on this process's open descriptors. */
import { readFileSync } from "node:fs";

const LIMITS_FILE = "/proc/self/limits";

/** The soft limit; undefined if there is none or the system doesn't tell. */
export function descriptorLimit(): number | undefined {
  try {
    return descriptorLimitIn(readFileSync(LIMITS_FILE, "utf8"));
  } catch {
    // Not Linux.
    return undefined;
  }
}

/** The soft limit in the text of a limits file (proc(5), /proc/pid/limits). */
export function descriptorLimitIn(text: string): number | undefined {
  const [, soft] = /^Max open files\s+(\d+)/m.exec(text) ?? [];
  return soft === undefined ? undefined : Number(soft);
}
