/**
 * Tells that the event loop is behind with requests on open connections. It reads
 * all that have arrived in one iteration, so its iterations grow long, and with
 * them the times of all requests and the delays of all timers.
 */
import type { Milliseconds } from "../../util/units.ts";
import { IterationSpan } from "./iteration_span.ts";

/**
 * A shorter iteration shows that the loop has caught up. Longer than the time
 * for which a processor quota makes the process stand still.
 */
const LONG_ITERATION_MS: Milliseconds = 100;
/** The loop is late when all iterations have been long for this time. */
const LATE_AFTER_MS: Milliseconds = 300;

/** Follows the iterations of an event loop. */
export class LateLoop {
  /** Time since the last short iteration. */
  readonly #late = new IterationSpan();

  /**
   * Whether iterations have begun to stay long. Callers that are served then had
   * better send their next request to another host.
   */
  get isBehind(): boolean {
    return this.#late.lengthMs > 0;
  }

  /** Whether the loop can't finish in time what it reads. */
  get isLate(): boolean {
    return this.#late.lengthMs > LATE_AFTER_MS;
  }

  /** Notes the end of an iteration, and for how long it was busy. */
  iterationEnded(busyMs: Milliseconds): void {
    if (busyMs < LONG_ITERATION_MS) return this.#late.clear();
    this.#late.add(busyMs);
  }
}
