/**
 * All that is known of whether this host may send something to a replica, in
 * one place. What replicas say of themselves in answers comes in here, and the
 * one function that sends asks here at the moment of the send: a request may
 * have waited since its replica was chosen.
 */
import type { Milliseconds } from "../../core/ids.ts";
import type { Clock } from "../clock.ts";
import type { ReplicaLimits } from "../limits/replica_limits.ts";
import type { EventLog } from "../observe/event_log.ts";
import { Backoffs } from "./backoffs.ts";
import type { LeavingReplicas } from "./leaving_replicas.ts";
import type { ReplicaEntry } from "./model.ts";
import type { ReplicaNotice } from "./notice.ts";
import type { Replica } from "./replica.ts";
import type { ReplicaTable } from "./replica_table.ts";

/** What is logged of a header that can't be read, in characters. */
const LONGEST_TEXT = 40;

/** What the gate is made from. */
export type ReplicaGateSource = {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly replicas: ReplicaTable;
  readonly leaving: LeavingReplicas;
  readonly limits: ReplicaLimits;
};

/** Why a replica is sent nothing by this host now. */
export type Obstacle = {
  /** It leaves, or is gone from the listing. */
  readonly type: "leaving";
};

/** An answer, by what it answers. */
export type AnsweredCall = {
  readonly sentAt: Milliseconds;
  /** The request that it answers; absent for calls of the host's own. */
  readonly request?: string | undefined;
};

/** What may be sent to replicas. */
export class ReplicaGate {
  readonly #source: ReplicaGateSource;
  readonly #backoffs = new Backoffs();

  constructor(source: ReplicaGateSource) {
    this.#source = source;
  }

  /** Replicas that this host leaves alone for a time. */
  get backingOff(): number {
    return this.#backoffs.count(this.#source.clock.now());
  }

  /** Why nothing may be sent to the replica now; undefined: it may. */
  obstacle(replica: Replica): Obstacle | undefined {
    if (!this.#source.replicas.open(replica)) return { type: "leaving" };
    return undefined;
  }

  /** The replica answered a request. */
  hear(
    { incarnation }: ReplicaEntry,
    notice: ReplicaNotice,
    answered: AnsweredCall,
  ): void {
    const { limits } = this.#source;
    limits.hear(incarnation, notice.limit, answered.sentAt);
    this.hearCall(incarnation, notice, answered);
  }

  /** The replica answered a call of the host's own, which no limit counts. */
  hearCall(
    incarnation: string,
    { leaving, backoff }: Omit<ReplicaNotice, "limit">,
    { request }: AnsweredCall,
  ): void {
    const { clock, events } = this.#source;
    const replica = incarnation;
    if (leaving) this.#source.leaving.heard(incarnation, request);
    if (backoff.type === "unreadable") {
      const text = backoff.text.slice(0, LONGEST_TEXT);
      events.note("backoffUnreadable", { replica, request, text });
    }
    if (backoff.type !== "backoff") return;
    const { forMs } = backoff;
    if (!this.#backoffs.ask(incarnation, forMs, clock.now())) return;
    events.note("backoffAsked", { replica, request, for_ms: forMs });
  }
}
