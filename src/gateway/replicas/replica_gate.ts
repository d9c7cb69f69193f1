/**
 * Decides whether this host may send a request to a replica. Reads backoffs,
 * limits and draining from the headers of responses. Checked again right before
 * each send, since a request may wait after its replica was chosen.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { PermitOutcome, ReplicaLimits } from "../limits/replica_limits.ts";
import type { EventLog } from "../observe/event_log.ts";
import { Backoffs } from "./backoffs.ts";
import type { DrainingReplicas } from "./draining_replicas.ts";
import type { ReplicaEntry, ReplicaStage } from "./model.ts";
import type { ReplicaNotice } from "./notice.ts";
import type { Replica } from "./replica.ts";
import {
  hasRequiredVersion,
  type RequiredVersion,
} from "./required_version.ts";
import type { ReplicaTable } from "./replica_table.ts";

/** Maximum number of characters logged of an unreadable header. */
const MAX_LOGGED_CHARS = 40;

/** Options of {@link ReplicaGate}. */
export type ReplicaGateOptions = {
  readonly clock: Clock;
  /** Returns numbers in [0, 1). */
  readonly random: () => number;
  readonly events: EventLog;
  readonly replicas: ReplicaTable;
  readonly draining: DrainingReplicas;
  readonly limits: ReplicaLimits;
};

/** Why this host may not send to a replica now. */
export type Obstacle =
  /** The replica is draining or no longer listed. */
  | { readonly type: "leaving" }
  /** The replica requested a backoff, which ends after `leftMs`. */
  | { readonly type: "backoff"; readonly leftMs: Milliseconds };

/** A permit to send one request to a replica, or why there is none. */
export type GateOutcome =
  | PermitOutcome
  | { readonly type: "closed"; readonly obstacle: Obstacle };

/** Which replicas of a service may be used for a request. */
export type Availability =
  | {
    readonly type: "some";
    /**
     * Incarnations that must not be chosen: those given, and unavailable ones.
     */
    readonly excluded: ReadonlySet<string>;
    /**
     * Time until the first excluded one may be used; Infinity if none will be.
     */
    readonly nextAvailableMs: Milliseconds;
  }
  /** No replica is usable, and the first backoff ends after this time. */
  | { readonly type: "none"; readonly retryAfterMs: Milliseconds };

/** Which replicas a request can use. */
export type ReplicaRequirements = {
  readonly service: string;
  /** The stage that answers the request; absent for plain services. */
  readonly stage?: ReplicaStage | undefined;
  /** Incarnations that must not be tried again. */
  readonly excluded: ReadonlySet<string>;
  /** The version of the replicas that answer it; absent: any will do. */
  readonly requiredVersion?: RequiredVersion | undefined;
};

/** The call to which a response belongs. */
export type AnsweredCall = {
  readonly sentAt: Milliseconds;
  /** The id of the request; absent for the host's own calls. */
  readonly request?: string | undefined;
};

/** Decides whether requests may be sent to replicas. */
export class ReplicaGate {
  readonly #options: ReplicaGateOptions;
  readonly #backoffs: Backoffs;

  constructor(options: ReplicaGateOptions) {
    this.#options = options;
    this.#backoffs = new Backoffs(options.random);
  }

  /** Number of replicas whose backoff is in force. */
  get backingOff(): number {
    return this.#backoffs.count(this.#options.clock.now());
  }

  /** Returns why nothing may be sent to the replica now, if so. */
  obstacle(replica: Replica): Obstacle | undefined {
    const { replicas, clock } = this.#options;
    if (!replicas.isOpen(replica)) return { type: "leaving" };
    const { incarnation } = replica.entry;
    const leftMs = this.#backoffs.leftMs(incarnation, clock.now());
    return leftMs > 0 ? { type: "backoff", leftMs } : undefined;
  }

  /** Requests a permit to send one request to the replica now. */
  async permit(replica: Replica): Promise<GateOutcome> {
    const obstacle = this.obstacle(replica);
    if (obstacle) return { type: "closed", obstacle };
    return await this.#options.limits.permit(replica);
  }

  /**
   * Returns which replicas of a service this host may use for a request now.
   */
  available(
    { service, stage, excluded, requiredVersion }: ReplicaRequirements,
  ): Availability {
    if (this.#backoffs.size === 0) {
      return { type: "some", excluded, nextAvailableMs: Infinity };
    }
    const isEligible = ({ entry }: Replica) =>
      entry.stage !== stage || hasRequiredVersion(entry, requiredVersion);
    const open = this.#options.replicas.openReplicasOf(service)
      .filter(isEligible);
    const answering = open.filter((replica) => replica.entry.stage === stage);
    const closed = new Set(excluded);
    for (const replica of open) {
      if (this.obstacle(replica)) closed.add(replica.entry.incarnation);
    }
    const nextMs = this.#minBackoffLeftMs(answering);
    const isUsable = ({ entry }: Replica) => !closed.has(entry.incarnation);
    if (!answering.some(isUsable) && Number.isFinite(nextMs)) {
      return { type: "none", retryAfterMs: nextMs };
    }
    const trialMs = this.#excludeOnTrial(open, closed);
    const minLeftMs = Math.min(nextMs, trialMs);
    return { type: "some", excluded: closed, nextAvailableMs: minLeftMs };
  }

  /** Time until the first backoff of the replicas ends. */
  #minBackoffLeftMs(replicas: readonly Replica[]): Milliseconds {
    const times = replicas.map((replica) => {
      const obstacle = this.obstacle(replica);
      return obstacle?.type === "backoff" ? obstacle.leftMs : Infinity;
    });
    return Math.min(Infinity, ...times);
  }

  /**
   * Excludes replicas with a trial request in flight where the stage has other
   * usable replicas. Returns the time until the first of these trials ends.
   */
  #excludeOnTrial(
    open: readonly Replica[],
    closed: Set<string>,
  ): Milliseconds {
    const now = this.#options.clock.now();
    const leftMsOf = ({ entry }: Replica) =>
      this.#backoffs.trialLeftMs(entry.incarnation, now);
    const usable = open.filter(({ entry }) => !closed.has(entry.incarnation));
    const healthy = usable.filter((replica) => leftMsOf(replica) === 0);
    let minLeftMs = Infinity;
    for (const replica of usable.filter((other) => leftMsOf(other) > 0)) {
      const { stage, incarnation } = replica.entry;
      if (!healthy.some((other) => other.entry.stage === stage)) continue;
      closed.add(incarnation);
      minLeftMs = Math.min(minLeftMs, leftMsOf(replica));
    }
    return minLeftMs;
  }

  /** Records that a request is sent to the replica. */
  noteSend({ incarnation }: ReplicaEntry): void {
    this.#backoffs.noteSend(incarnation, this.#options.clock.now());
  }

  /** Handles the headers of a response to a request. */
  observe(
    incarnation: string,
    notice: ReplicaNotice,
    answered: AnsweredCall,
  ): void {
    const { limits } = this.#options;
    const { sentAt } = answered;
    limits.observe(incarnation, notice.limit, sentAt);
    const isAccepted = notice.backoff.type === "none";
    if (isAccepted) this.#backoffs.noteAccepted(incarnation, sentAt);
    this.observeCall(incarnation, notice, answered);
  }

  /**
   * Handles the headers of a response that counts against no limit: to one of
   * the host's own calls, or to no known request.
   */
  observeCall(
    incarnation: string,
    { leaving, backoff }: Omit<ReplicaNotice, "limit">,
    { request }: AnsweredCall,
  ): void {
    const { clock, events } = this.#options;
    const replica = incarnation;
    if (leaving) this.#options.draining.observe(incarnation, request);
    if (backoff.type === "unreadable") {
      const text = backoff.text.slice(0, MAX_LOGGED_CHARS);
      events.note("backoffUnreadable", { replica, request, text });
    }
    if (backoff.type !== "backoff") return;
    const { forMs } = backoff;
    if (!this.#backoffs.start(incarnation, forMs, clock.now())) return;
    events.note("backoffAsked", { replica, request, for_ms: forMs });
  }
}
