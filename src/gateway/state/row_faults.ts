/** Logs unreadable rows once each rather than at every listing. */
import type { EventLog } from "../observe/event_log.ts";
import type { RowFault } from "../port.ts";

/** Maximum number of logged rows that are stored. */
const MAX_LOGGED_FAULTS = 1000;

/** Stores which rows were logged, with the reason. */
export class RowFaults {
  readonly #events: EventLog;
  readonly #logged = new Map<string, string>();

  constructor(events: EventLog) {
    this.#events = events;
  }

  /** Logs rows that are new or unreadable for another reason than before. */
  note(faults: readonly RowFault[] = []): void {
    for (const { key, reason } of faults) {
      if (this.#logged.get(key) === reason) continue;
      if (this.#logged.size >= MAX_LOGGED_FAULTS) this.#logged.clear();
      this.#logged.set(key, reason);
      this.#events.note("rowUnreadable", { key, reason });
    }
  }
}
