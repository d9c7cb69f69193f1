/**
 * Asks again while others are silent: a host that is short of processor time, or
 * whose connection has just broken, responds a moment later.
 */
import type { Milliseconds } from "../../util/units.ts";
import { type Clock, sleep } from "../clock.ts";
import type { Resolution } from "./resolve_version.ts";

/** Timeout of the first question; each further one has twice as long. */
const FIRST_TIMEOUT_MS: Milliseconds = 250;
const PAUSE_MS: Milliseconds = 50;

/**
 * Resolves a stream, again for up to `patienceMs` while it is unknown and hosts
 * or the store are silent. `resolve` is given the timeout of its questions.
 */
export async function resolveInTime(
  { clock, patienceMs }: {
    readonly clock: Clock;
    readonly patienceMs: Milliseconds;
  },
  resolve: (timeoutMs: Milliseconds) => Promise<Resolution>,
): Promise<Resolution> {
  const deadline = clock.now() + patienceMs;
  for (let timeoutMs = FIRST_TIMEOUT_MS;; timeoutMs *= 2) {
    const leftMs = deadline - clock.now();
    const askMs = Math.max(FIRST_TIMEOUT_MS, Math.min(timeoutMs, leftMs));
    const resolution = await resolve(askMs);
    const isOver = clock.now() + PAUSE_MS >= deadline;
    if (resolution.isFinal || isOver) return resolution;
    await sleep(clock, PAUSE_MS);
  }
}
