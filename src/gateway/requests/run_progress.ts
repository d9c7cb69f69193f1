/** Measures a run by the events of its response while it is forwarded. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { RunSummary } from "../planning/assignment.ts";

/** Shortest interval between two reports of one run. */
const REPORT_INTERVAL_MS = 1000;

/** Observes a response that is forwarded. */
export type RelayObserver = {
  /**
   * Called when a part was received, before it is forwarded, with the number of
   * complete events so far.
   */
  received(events: number): void;
  /** Called when the caller reads more slowly than the replica sends. */
  heldUp(): void;
};

/** Options of {@link RunProgress}. */
export type RunProgressOptions = {
  readonly clock: Pick<Clock, "now">;
  /** When the request was sent to the replica. */
  readonly sentAt: Milliseconds;
  /** Reports the first event, `firstEventMs` after the send. */
  started(firstEventMs: Milliseconds): void;
  /** Reports the events so far, and the time since the first one. */
  running(run: Required<RunSummary>): void;
  /** Reports that nothing more will be reported before the end. */
  heldUp(): void;
};

/**
 * Reports the first event of a run, and its progress at a bounded rate. Of a
 * run that its caller holds up, no further times are reported, because they are
 * not the replica's.
 */
export class RunProgress implements RelayObserver {
  readonly #options: RunProgressOptions;
  #events = 0;
  #firstAt: Milliseconds | undefined;
  /** Events received with the first one. */
  #firstEvents = 0;
  #lastAt: Milliseconds = 0;
  #reportedAt: Milliseconds = 0;
  #isHeldUp = false;

  constructor(options: RunProgressOptions) {
    this.#options = options;
  }

  received(events: number): void {
    if (events === this.#events) return;
    this.#events = events;
    if (this.#isHeldUp) return;
    const { clock, sentAt, started, running } = this.#options;
    const now = clock.now();
    this.#lastAt = now;
    if (this.#firstAt === undefined) {
      this.#firstAt = now;
      this.#firstEvents = events;
      this.#reportedAt = now;
      return started(now - sentAt);
    }
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    running({
      events: events - this.#firstEvents,
      runMs: now - this.#firstAt,
    });
  }

  heldUp(): void {
    if (this.#isHeldUp) return;
    this.#isHeldUp = true;
    this.#options.heldUp();
  }

  /** The events and the duration of the complete run; empty if unknown. */
  get summary(): RunSummary {
    if (this.#firstAt === undefined || this.#isHeldUp) return {};
    return {
      events: this.#events - this.#firstEvents,
      runMs: this.#lastAt - this.#firstAt,
    };
  }
}
