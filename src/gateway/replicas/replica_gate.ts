/** Takes what replicas say of themselves in their answers. */
import type { Milliseconds } from "../../core/ids.ts";
import type { Clock } from "../clock.ts";
import type { ReplicaLimits } from "../limits/replica_limits.ts";
import type { EventLog } from "../observe/event_log.ts";
import { forgetOldest } from "../../util/forget_oldest.ts";
import { Backoffs } from "./backoffs.ts";
import type { ReplicaEntry } from "./model.ts";
import type { ReplicaNotice } from "./notice.ts";

/** What is logged of a header that can't be read, in characters. */
const LONGEST_TEXT = 40;
/** Replicas that said they leave are remembered up to this number. */
const MOST_LEAVING = 10_000;

/** What the gate is made from. */
export type ReplicaGateSource = {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly limits: Pick<ReplicaLimits, "hear">;
};

/** An answer, by what it answers. */
export type AnsweredCall = {
  readonly sentAt: Milliseconds;
  /** The request that it answers; absent for calls of the host's own. */
  readonly request?: string | undefined;
};

/** What replicas said of themselves. */
export class ReplicaGate {
  readonly #source: ReplicaGateSource;
  readonly #backoffs = new Backoffs();
  readonly #leaving = new Set<string>();

  constructor(source: ReplicaGateSource) {
    this.#source = source;
  }

  /** Replicas that this host leaves alone for a time. */
  get backingOff(): number {
    return this.#backoffs.count(this.#source.clock.now());
  }

  /** An answer of the replica came. */
  hear(
    { incarnation }: ReplicaEntry,
    { leaving, backoff, limit }: ReplicaNotice,
    { sentAt, request }: AnsweredCall,
  ): void {
    const { clock, events, limits } = this.#source;
    const now = clock.now();
    const replica = incarnation;
    limits.hear(incarnation, limit, sentAt);
    if (leaving && !this.#leaving.has(incarnation)) {
      this.#leaving.add(incarnation);
      forgetOldest(this.#leaving, MOST_LEAVING);
      events.note("leavingHeard", { replica, request });
    }
    if (backoff.type === "unreadable") {
      const text = backoff.text.slice(0, LONGEST_TEXT);
      events.note("backoffUnreadable", { replica, request, text });
    }
    if (backoff.type !== "backoff") return;
    const { forMs } = backoff;
    if (!this.#backoffs.ask(incarnation, forMs, now)) return;
    events.note("backoffAsked", { replica, request, for_ms: forMs });
  }
}
