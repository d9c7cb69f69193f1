/**
 * Bounds how long connections wait before they are accepted. The event loop
 * accepts one connection in each iteration; the others wait in a queue of the
 * operating system, for seconds if the host lacks processor time, and nothing
 * tells a process how long. An iteration that accepts none shows that this queue
 * is empty. If it has not been empty for too long, connections are closed unread
 * until it is, at little cost, so that their callers turn to other hosts.
 */
import type { Milliseconds } from "../../util/units.ts";
import { IterationSpan } from "./iteration_span.ts";

/** Connections may wait without a gap for this long, as in a burst. */
const BURST_MS: Milliseconds = 500;
/**
 * The same soon after connections were closed, when more arrive than are served.
 * Longer than a period of the operating system's processor quota, in which a
 * process may stand still for most of the time.
 */
const OVERLOAD_MS: Milliseconds = 150;
/** Connections were closed recently until this time has passed. */
const RECENT_MS: Milliseconds = 2000;

/** Decides which of the connections that wait are served. */
export class AcceptQueue {
  /** Time since the queue was empty. */
  readonly #filled = new IterationSpan();
  #hasAccepted = false;
  #isShedding = false;
  #shedAt: Milliseconds = -Infinity;
  #iterationEndedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#iterationEndedAt = now;
  }

  /** Notes that a connection was accepted, whether it is served or not. */
  noteAccepted(): void {
    this.#hasAccepted = true;
  }

  /**
   * Notes the end of an iteration of the event loop; returns whether connections
   * are closed unread in the next one.
   */
  iterationEnded(now: Milliseconds): boolean {
    const lastedMs = now - this.#iterationEndedAt;
    this.#iterationEndedAt = now;
    const isEmpty = !this.#hasAccepted;
    this.#hasAccepted = false;
    if (isEmpty) {
      this.#filled.clear();
      this.#isShedding = false;
      return false;
    }
    this.#filled.add(lastedMs);
    const isRecent = now - this.#shedAt < RECENT_MS;
    const allowedMs = isRecent ? OVERLOAD_MS : BURST_MS;
    if (this.#filled.lengthMs > allowedMs) this.#isShedding = true;
    if (this.#isShedding) this.#shedAt = now;
    return this.#isShedding;
  }
}
