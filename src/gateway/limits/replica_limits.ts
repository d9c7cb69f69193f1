/** The limits that replicas name, as this host hears of them. */
import type { Milliseconds } from "../../core/ids.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { LimitTable } from "./limit_table.ts";
import type { LimitHeader, LimitRecord } from "./model.ts";

/** What the limits are made from. */
export type ReplicaLimitsSource = {
  readonly clock: Clock;
  readonly events: EventLog;
};

/** The limits that this host knows of. */
export class ReplicaLimits {
  readonly #source: ReplicaLimitsSource;
  readonly #table = new LimitTable();

  constructor(source: ReplicaLimitsSource) {
    this.#source = source;
  }

  /** Replicas that have a limit now. */
  get limited(): number {
    return this.#table.limited;
  }

  /** An answer of the replica came, to a request that was sent at `sentAt`. */
  hear(
    { incarnation }: ReplicaEntry,
    header: LimitHeader,
    sentAt: Milliseconds,
  ): void {
    const { clock, events } = this.#source;
    const before = this.#table.limitOf(incarnation);
    if (header.type === "unreadable") {
      const text = header.text.slice(0, LONGEST_TEXT);
      events.note("limitUnreadable", {
        replica: incarnation,
        text,
        per_second: before,
      });
    }
    const answer = { incarnation, header, sentAt };
    const change = this.#table.hear(answer, clock.now());
    if (change) this.#noteChange(change, before);
  }

  #noteChange(
    { incarnation, perSecond }: LimitRecord,
    before: number | undefined,
  ): void {
    const { events } = this.#source;
    const replica = incarnation;
    if (perSecond === undefined) {
      return events.note("limitEnded", { replica, before });
    }
    events.note("limitNamed", { replica, per_second: perSecond, before });
  }
}

/** What is logged of a header that is no number, in characters. */
const LONGEST_TEXT = 40;
