/** Measures a run by the events of its response while it is forwarded. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { RunSummary } from "../planning/assignment.ts";

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Shortest interval between two reports of one run. */
const REPORT_INTERVAL_MS = 1000;

/** Counts the server-sent events in a stream of any part sizes. */
export class EventCounter {
  #events = 0;
  /** Bytes of the current line before this part, without a final CR. */
  #lineBytes = 0;
  /** The current event has a line. */
  #hasLine = false;

  /** Complete events so far. */
  get events(): number {
    return this.#events;
  }

  /** Counts the events that the bytes complete. */
  push(bytes: Buffer): void {
    let start = 0;
    for (;;) {
      const end = bytes.indexOf(NEWLINE, start);
      if (end < 0) break;
      this.#endLine(this.#lineBytes + textLength(bytes, start, end));
      start = end + 1;
    }
    this.#lineBytes += textLength(bytes, start, bytes.length);
  }

  #endLine(length: number): void {
    this.#lineBytes = 0;
    if (length === 0 && this.#hasLine) this.#events += 1;
    this.#hasLine = length > 0;
  }
}

/** Length of a part of a line without a final CR. */
function textLength(bytes: Buffer, start: number, end: number): number {
  const hasReturn = end > start && bytes[end - 1] === CARRIAGE_RETURN;
  return end - start - (hasReturn ? 1 : 0);
}

/** Observes a response that is forwarded. */
export type RelayObserver = {
  /** Called with the bytes that were received, before they are forwarded. */
  data(bytes: Buffer): void;
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
  readonly #counter = new EventCounter();
  #firstAt: Milliseconds | undefined;
  /** Events received with the first one. */
  #firstEvents = 0;
  #lastAt: Milliseconds = 0;
  #reportedAt: Milliseconds = 0;
  #isHeldUp = false;

  constructor(options: RunProgressOptions) {
    this.#options = options;
  }

  data(bytes: Buffer): void {
    const before = this.#counter.events;
    this.#counter.push(bytes);
    if (this.#counter.events === before) return;
    if (this.#isHeldUp) return;
    const { clock, sentAt, started, running } = this.#options;
    const now = clock.now();
    this.#lastAt = now;
    if (this.#firstAt === undefined) {
      this.#firstAt = now;
      this.#firstEvents = this.#counter.events;
      this.#reportedAt = now;
      return started(now - sentAt);
    }
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    running({
      events: this.#counter.events - this.#firstEvents,
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
      events: this.#counter.events - this.#firstEvents,
      runMs: this.#lastAt - this.#firstAt,
    };
  }
}
