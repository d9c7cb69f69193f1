/**
 * Timers that count the time for which this process runs. After a stall, timers
 * fire before what has arrived meanwhile is read, so that a timeout would take
 * this host's own delay for the silence of another.
 */
import type { Milliseconds } from "../util/units.ts";
import type { Clock } from "./clock.ts";

/** A stall counts as one part of the delay at most. */
const PARTS = 5;
/** A part that lasts longer than planned by this time has met a stall. */
const STALL_MS: Milliseconds = 20;
/** Bounds the delay in a process that stalls all the time. */
const MAX_PARTS = 2 * PARTS;

/**
 * Calls `callback` once this process has run for `delayMs`, at the end of a part
 * without a stall; returns a function that cancels it.
 */
export function afterRunning(
  clock: Clock,
  delayMs: Milliseconds,
  callback: () => void,
): () => void {
  const partMs = delayMs / PARTS;
  let parts = 0;
  let cancel = () => {};
  const startPart = () => {
    const startedAt = clock.now();
    cancel = clock.after(partMs, () => {
      parts += 1;
      const hasStalled = clock.now() - startedAt > partMs + STALL_MS;
      const isOver = parts >= MAX_PARTS || parts >= PARTS && !hasStalled;
      if (isOver) callback();
      else startPart();
    });
  };
  startPart();
  return () => cancel();
}
