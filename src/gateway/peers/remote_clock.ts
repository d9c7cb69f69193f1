/** Converts times of another host's clock to this host's clock. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * Assumed maximum drift between two monotonic clocks, as a share of elapsed
 * time: five times the drift of uncorrected quartz (100 ppm).
 */
const MAX_DRIFT = 500e-6;

/**
 * The times at which a message was sent and received, by either end's clock.
 */
export type ClockEcho = {
  /** Time of sending, by the sender's clock. */
  readonly sentAt: Milliseconds;
  /** Time of receipt, by the receiver's clock. */
  readonly heardAt: Milliseconds;
};

type Bound = { readonly offsetMs: Milliseconds; readonly at: Milliseconds };

/**
 * Tracks a lower bound of the offset to another host's clock. A message may be
 * buffered for seconds and either host may be stalled, so the time at which a
 * message arrives does not give the offset. But a message that this host sent
 * at `sentAt` was received later: the remote clock showed `heardAt` no earlier
 * than `sentAt`.
 */
export class RemoteClock {
  /** Lower bound of this host's clock minus the remote clock. */
  #minOffset: Bound | undefined;

  /** Applies the echo of a message that this host has sent. */
  note({ sentAt, heardAt }: ClockEcho, now: Milliseconds): void {
    const offsetMs: Milliseconds = sentAt - heardAt;
    if (this.#offsetAt(now) > offsetMs) return;
    this.#minOffset = { offsetMs, at: now };
  }

  /**
   * Discards the bound. Needed after this host's clock was stopped: the offset
   * has decreased, so converted times would be too late.
   */
  reset(): void {
    this.#minOffset = undefined;
  }

  /**
   * Converts a time of the remote clock. The result is never too late; it is
   * too early by the delay of the echoed message and the allowance for drift.
   * Undefined before the first echo.
   */
  toLocal(remote: Milliseconds, now: Milliseconds): Milliseconds | undefined {
    return this.#minOffset && remote + this.#offsetAt(now);
  }

  #offsetAt(now: Milliseconds): Milliseconds {
    if (!this.#minOffset) return -Infinity;
    const { offsetMs, at } = this.#minOffset;
    return offsetMs - (now - at) * MAX_DRIFT;
  }
}
