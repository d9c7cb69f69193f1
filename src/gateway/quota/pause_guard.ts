/**
 * Delays decisions after this host was suspended. Until it has read that links
 * were closed meanwhile, it takes itself for the owner of hosts that have
 * chosen another one, and would grant their part of each account a second time.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";

/**
 * Interval after which a host that was due to run counts as suspended: the
 * links of other hosts close after 1.3 s, and hosts refresh once a second.
 */
const PAUSE_MS: Milliseconds = 1300;
/** Time to read what arrived while this host was suspended. */
const READ_MS: Milliseconds = 20;

/** Runs decisions, later if this host has just been suspended. */
export class PauseGuard {
  readonly #clock: Pick<Clock, "now" | "after">;
  #ranAt: Milliseconds;
  #waitUntil: Milliseconds = -Infinity;

  constructor(clock: Pick<Clock, "now" | "after">) {
    this.#clock = clock;
    this.#ranAt = clock.now();
  }

  /** Records that this host runs; call at least once a second. */
  noteRunning(): void {
    const now = this.#clock.now();
    if (now - this.#ranAt > PAUSE_MS) this.#waitUntil = now + READ_MS;
    this.#ranAt = now;
  }

  /** Runs `decide`, and returns how to cancel it if that is later. */
  run(decide: () => void): () => void {
    this.noteRunning();
    const delayMs = this.#waitUntil - this.#clock.now();
    if (delayMs > 0) return this.#clock.after(delayMs, decide);
    decide();
    return () => undefined;
  }
}
