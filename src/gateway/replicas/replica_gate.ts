/**
 * All that is known of whether this host may send something to a replica, in
 * one place. What replicas say of themselves in answers comes in here, and the
 * one function that sends asks here at the moment of the send: a request may
 * have waited since its replica was chosen.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { PermitOutcome, ReplicaLimits } from "../limits/replica_limits.ts";
import type { EventLog } from "../observe/event_log.ts";
import { Backoffs } from "./backoffs.ts";
import type { LeavingReplicas } from "./leaving_replicas.ts";
import type { ReplicaEntry, ReplicaStage } from "./model.ts";
import type { ReplicaNotice } from "./notice.ts";
import type { Replica } from "./replica.ts";
import type { ReplicaTable } from "./replica_table.ts";

/** What is logged of a header that can't be read, in characters. */
const LONGEST_TEXT = 40;

/** What the gate is made from. */
export type ReplicaGateSource = {
  readonly clock: Clock;
  /** In [0, 1). */
  readonly random: () => number;
  readonly events: EventLog;
  readonly replicas: ReplicaTable;
  readonly leaving: LeavingReplicas;
  readonly limits: ReplicaLimits;
};

/** Why a replica is sent nothing by this host now. */
export type Obstacle =
  /** It leaves, or is gone from the listing. */
  | { readonly type: "leaving" }
  /** It asked for nothing from this host; so much of the time is left. */
  | { readonly type: "backoff"; readonly leftMs: Milliseconds };

/** Leave to send one request to a replica, or why there is none. */
export type GateOutcome =
  | PermitOutcome
  | { readonly type: "closed"; readonly obstacle: Obstacle };

/** Which replicas of a service may be used for a request. */
export type Availability =
  | {
    readonly type: "some";
    /** Incarnations not to be chosen: those given, and what backs off. */
    readonly excluded: ReadonlySet<string>;
    /** One that is left out may be used after this time; Infinity: none. */
    readonly nextMs: Milliseconds;
  }
  /** All that are left asked for a pause. */
  | { readonly type: "none"; readonly retryAfterMs: Milliseconds };

/** What a request needs of replicas. */
export type ReplicaNeed = {
  readonly service: string;
  /** The stage that answers it; absent at a plain service. */
  readonly stage?: ReplicaStage | undefined;
  /** Incarnations that are not to be tried again. */
  readonly excluded: ReadonlySet<string>;
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
  readonly #backoffs: Backoffs;

  constructor(source: ReplicaGateSource) {
    this.#source = source;
    this.#backoffs = new Backoffs(source.random);
  }

  /** Replicas that this host leaves alone for a time. */
  get backingOff(): number {
    return this.#backoffs.count(this.#source.clock.now());
  }

  /** Why nothing may be sent to the replica now; undefined: it may. */
  obstacle(replica: Replica): Obstacle | undefined {
    const { replicas, clock } = this.#source;
    if (!replicas.open(replica)) return { type: "leaving" };
    const { incarnation } = replica.entry;
    const leftMs = this.#backoffs.leftMs(incarnation, clock.now());
    return leftMs > 0 ? { type: "backoff", leftMs } : undefined;
  }

  /** Leave to send one request to the replica now. */
  async permit(replica: Replica): Promise<GateOutcome> {
    const obstacle = this.obstacle(replica);
    if (obstacle) return { type: "closed", obstacle };
    return await this.#source.limits.permit(replica);
  }

  /** Which replicas of a service this host may use for a request now. */
  available({ service, stage, excluded }: ReplicaNeed): Availability {
    if (this.#backoffs.size === 0) {
      return { type: "some", excluded, nextMs: Infinity };
    }
    const open = this.#source.replicas.openOf(service);
    const answering = open.filter((one) => one.entry.stage === stage);
    const closed = new Set(excluded);
    for (const one of open) {
      if (this.obstacle(one)) closed.add(one.entry.incarnation);
    }
    const nextMs = this.#nextMs(answering);
    const isUsable = ({ entry }: Replica) => !closed.has(entry.incarnation);
    if (!answering.some(isUsable) && Number.isFinite(nextMs)) {
      return { type: "none", retryAfterMs: nextMs };
    }
    const trialMs = this.#leaveOutTried(open, closed);
    const soonestMs = Math.min(nextMs, trialMs);
    return { type: "some", excluded: closed, nextMs: soonestMs };
  }

  /** Time until one of the replicas that asked for a pause may be used. */
  #nextMs(replicas: readonly Replica[]): Milliseconds {
    const lefts = replicas.map((one) => {
      const obstacle = this.obstacle(one);
      return obstacle?.type === "backoff" ? obstacle.leftMs : Infinity;
    });
    return Math.min(Infinity, ...lefts);
  }

  /**
   * A replica that is tried is left out where another of its stage is not.
   * Gives the time until the first of these trials is over.
   */
  #leaveOutTried(
    open: readonly Replica[],
    closed: Set<string>,
  ): Milliseconds {
    const now = this.#source.clock.now();
    const trialMs = ({ entry }: Replica) =>
      this.#backoffs.trialMs(entry.incarnation, now);
    const usable = open.filter(({ entry }) => !closed.has(entry.incarnation));
    const sound = usable.filter((one) => trialMs(one) === 0);
    let soonestMs = Infinity;
    for (const one of usable.filter((other) => trialMs(other) > 0)) {
      const { stage, incarnation } = one.entry;
      if (!sound.some((other) => other.entry.stage === stage)) continue;
      closed.add(incarnation);
      soonestMs = Math.min(soonestMs, trialMs(one));
    }
    return soonestMs;
  }

  /** A request goes to the replica. */
  noteSend({ incarnation }: ReplicaEntry): void {
    this.#backoffs.noteSend(incarnation, this.#source.clock.now());
  }

  /** The replica answered a request. */
  hear(
    incarnation: string,
    notice: ReplicaNotice,
    answered: AnsweredCall,
  ): void {
    const { limits } = this.#source;
    const { sentAt } = answered;
    limits.hear(incarnation, notice.limit, sentAt);
    const isTaken = notice.backoff.type === "none";
    if (isTaken) this.#backoffs.noteTaken(incarnation, sentAt);
    this.hearCall(incarnation, notice, answered);
  }

  /**
   * The replica answered a call of the host's own, which no limit counts, or
   * gave an answer that belongs to no request that is known.
   */
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
