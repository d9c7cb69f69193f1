/** Tells of rows that can't be read: once each, not at every listing. */
import type { EventLog } from "../observe/event_log.ts";
import type { RowFault } from "../port.ts";

/** Rows that are remembered as told of. */
const MOST_FAULTS = 1000;

/** The rows that were told of, and what was wrong with them. */
export class RowFaults {
  readonly #events: EventLog;
  readonly #told = new Map<string, string>();

  constructor(events: EventLog) {
    this.#events = events;
  }

  /** Logs those that are new or wrong in another way. */
  note(faults: readonly RowFault[] = []): void {
    for (const { key, reason } of faults) {
      if (this.#told.get(key) === reason) continue;
      if (this.#told.size >= MOST_FAULTS) this.#told.clear();
      this.#told.set(key, reason);
      this.#events.note("rowUnreadable", { key, reason });
    }
  }
}
