/**
 * Measures how long the test's own process was held up. It plays the replicas,
 * the proxies and the callers, so its stalls look like those of all of them.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";

const RESOLUTION_MS = 10;
const NANOSECONDS_PER_MS = 1e6;

/** Measures from its creation on. */
export class StallMeter {
  readonly #delays = monitorEventLoopDelay({ resolution: RESOLUTION_MS });

  constructor() {
    this.#delays.enable();
  }

  /** The longest time for which the process has been held up so far. */
  get longestMs(): number {
    return this.#delays.max / NANOSECONDS_PER_MS;
  }

  /** Ends the measurement and describes the delays of the event loop. */
  end(): string {
    this.#delays.disable();
    const inMs = (nanoseconds: number) =>
      `${Math.round(nanoseconds / NANOSECONDS_PER_MS)} ms`;
    return `median ${inMs(this.#delays.percentile(50))}, ` +
      `99th percentile ${inMs(this.#delays.percentile(99))}, ` +
      `longest ${inMs(this.#delays.max)}`;
  }
}
