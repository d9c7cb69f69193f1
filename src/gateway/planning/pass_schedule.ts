/**
 * Schedules the passes of a planner over its queue: at an interval while requests
 * wait, and earlier after a message that may change a decision, as long as the
 * passes take little processor time.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import { AssignmentStage, type HostMessage } from "./messages.ts";

/** Interval of the passes while requests wait. */
const PASS_INTERVAL_MS = 20;
/** Share of the time that passes take if each is caused by a message. */
const MAX_PASS_SHARE = 0.01;
/** Above this queue length, one pass handles several messages. */
const LONG_QUEUE = 16;
const LONG_QUEUE_PASS_DELAY_MS = 3;

/** Reports that neither release anything nor end a request. */
const QUIET_STAGES: ReadonlySet<AssignmentStage> = new Set([
  AssignmentStage.started,
  AssignmentStage.running,
]);

/** A pass that was made. */
export type Pass = {
  readonly startedAt: Milliseconds;
  readonly durationMs: Milliseconds;
};

/** When a message may cause a pass again; the interval applies as well. */
export function earliestPassAt({ startedAt, durationMs }: Pass): Milliseconds {
  return startedAt + durationMs / MAX_PASS_SHARE;
}

/** Whether a waiting request may be answered because of a message. */
export function mayChangeDecisions(message: HostMessage): boolean {
  if (message.type === "progress") return !QUIET_STAGES.has(message.stage);
  return message.type === "ask";
}

/** Options of {@link PassSchedule}. */
export type PassScheduleOptions = {
  readonly clock: Clock;
  /** Makes a pass. */
  pass(): void;
  /** Requests that wait for an assignment. */
  waiting(): number;
};

/** A pass that is scheduled. */
type NextPass = {
  readonly at: Milliseconds;
  /** Whether it is due to the interval; a message may cause one before it. */
  readonly isOfInterval: boolean;
  cancel(): void;
};

/** The passes of one planner. */
export class PassSchedule {
  readonly #options: PassScheduleOptions;
  #latest: Pass = { startedAt: -Infinity, durationMs: 0 };
  #next: NextPass | undefined;

  constructor(options: PassScheduleOptions) {
    this.#options = options;
  }

  /** Schedules a pass because of a message that was handled. */
  noteMessage(message: HostMessage): void {
    const now = this.#options.clock.now();
    if (!this.#next) {
      const isLong = this.#options.waiting() > LONG_QUEUE;
      this.#schedule(now + (isLong ? LONG_QUEUE_PASS_DELAY_MS : 0), now);
      return;
    }
    const { isOfInterval, at, cancel } = this.#next;
    if (!isOfInterval || !mayChangeDecisions(message)) return;
    const earliestAt = Math.max(now, earliestPassAt(this.#latest));
    if (earliestAt >= at) return;
    cancel();
    this.#schedule(earliestAt, now);
  }

  #schedule(at: Milliseconds, now: Milliseconds, isOfInterval = false): void {
    const run = () => this.#pass();
    const { clock } = this.#options;
    const cancel = at > now ? clock.after(at - now, run) : () => undefined;
    this.#next = { at, isOfInterval, cancel };
    if (at <= now) queueMicrotask(run);
  }

  #pass(): void {
    const { clock, pass, waiting } = this.#options;
    this.#next = undefined;
    const startedAt = clock.now();
    pass();
    const now = clock.now();
    this.#latest = { startedAt, durationMs: now - startedAt };
    if (waiting() > 0) this.#schedule(now + PASS_INTERVAL_MS, now, true);
  }
}
