/**
 * Ejected replicas and their way back. The load that it answers: replicas that
 * pass their health checks but are far slower than their pool, fail a part of
 * their requests or stop answering.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { EventFields } from "../observe/event_log.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { PlannerView } from "./view.ts";

/** Why a replica is ejected. */
export const EjectionReason = {
  /** It is several times slower than its pool. */
  slow: "slow",
  /** It fails a part of its requests. */
  failing: "failing",
  /** Its runs are overdue. */
  silent: "silent",
} as const;
/** One of the values of {@link EjectionReason}. */
export type EjectionReason = typeof EjectionReason[keyof typeof EjectionReason];

/** What a replica may be given. */
export const Standing = {
  /** Any request. */
  open: "open",
  /** One request, as a trial. */
  trial: "trial",
  /** A request for which no other replica has room. */
  spare: "spare",
  /** Nothing. */
  closed: "closed",
} as const;
/** One of the values of {@link Standing}. */
export type Standing = typeof Standing[keyof typeof Standing];

/** Largest share of the replicas of one stage that are ejected at once. */
const MAX_EJECTED_SHARE = 1 / 3;
/** Time without work; doubles with each failed trial. */
const INITIAL_PAUSE_MS = 1000;
const MAX_PAUSE_MS = 8000;
/** A trial without a result after this time has failed. */
const TRIAL_TIMEOUT_MS = 4000;
/** Delay before the next trial if one ended without a result. */
const NEXT_TRIAL_DELAY_MS = 200;
/** How long a trial waits for a request that may run twice. */
const REPEATABLE_WAIT_MS = 1500;
/**
 * Consecutive good trials that end an ejection. A replica that fails a part of
 * its requests passes a few by chance.
 */
const TRIALS_TO_RETURN = { slow: 2, failing: 5, silent: 2 } as const;
/** A replica that is ejected again within this time gets a longer pause. */
const REPEATED_WITHIN_MS = 30_000;
/** Maximum number of recorded ejections. */
const MAX_RECORDS = 1000;

type EjectionRecord = {
  readonly service: string;
  readonly reason: EjectionReason;
  readonly since: Milliseconds;
  /** Doublings of the pause. */
  level: number;
  /** When the next trial may begin. */
  trialAt: Milliseconds;
  trial: { readonly id: string; readonly until: Milliseconds } | undefined;
  goodTrials: number;
  trials: number;
  endedAt: Milliseconds | undefined;
};

/** An ejection and the figures that decided it. */
export type EjectionCause = {
  readonly reason: EjectionReason;
  readonly figures: EventFields;
};

/** An ejection as one planner tells it to the next. */
export type EjectionSummary = {
  readonly reason: EjectionReason;
  /** Doublings of the pause. */
  readonly level: number;
  /** Time until the next trial may begin. */
  readonly trialInMs: Milliseconds;
};

/** The ejected replicas of one planner, by incarnation. */
export class Ejection {
  readonly #records = new Map<string, EjectionRecord>();
  readonly #view: Pick<PlannerView, "events" | "metrics">;

  constructor(view: Pick<PlannerView, "events" | "metrics">) {
    this.#view = view;
  }

  /** Why the replica is ejected; undefined: it is not. */
  reasonOf(incarnation: string): EjectionReason | undefined {
    const record = this.#records.get(incarnation);
    return record?.endedAt === undefined ? record?.reason : undefined;
  }

  /** Ejects a replica, unless too many of its `pool` are ejected already. */
  eject(
    { incarnation, service, stage }: ReplicaEntry,
    pool: readonly ReplicaEntry[],
    { reason, figures }: EjectionCause,
    now: Milliseconds,
  ): boolean {
    if (this.reasonOf(incarnation) !== undefined) return false;
    const peers = pool.filter((peer) => peer.stage === stage);
    const ejected =
      peers.filter((peer) => this.reasonOf(peer.incarnation) !== undefined)
        .length;
    if (ejected >= maxEjected(peers.length)) {
      this.#view.metrics.count("replica_ejections_denied");
      return false;
    }
    const before = this.#records.get(incarnation);
    const isRepeated = before?.endedAt !== undefined &&
      now - before.endedAt < REPEATED_WITHIN_MS;
    const level = isRepeated ? before.level + 1 : 0;
    this.#records.delete(incarnation);
    this.#records.set(incarnation, {
      service,
      reason,
      since: now,
      level,
      trialAt: now + pauseMs(level),
      trial: undefined,
      goodTrials: 0,
      trials: 0,
      endedAt: undefined,
    });
    evictOldest(this.#records, MAX_RECORDS);
    this.#view.metrics.count(`replicas_ejected_${reason}`);
    this.#view.events.note("replicaEjected", {
      service,
      replica: incarnation,
      stage,
      reason,
      ...figures,
      pool: peers.length,
      ejected: ejected + 1,
      pause_ms: pauseMs(level),
    });
    return true;
  }

  /** The ejection of a replica, if it is ejected. */
  summaryOf(
    incarnation: string,
    now: Milliseconds,
  ): EjectionSummary | undefined {
    const record = this.#records.get(incarnation);
    if (!record || record.endedAt !== undefined) return undefined;
    const { reason, level, trialAt } = record;
    // A trial is overdue only if this planner gets no requests any more.
    if (now - trialAt > MAX_PAUSE_MS) return undefined;
    return { reason, level, trialInMs: Math.max(0, trialAt - now) };
  }

  /** Adopts an ejection, unless one has ended here recently. */
  adopt(
    replica: ReplicaEntry,
    pool: readonly ReplicaEntry[],
    { reason, level, trialInMs }: EjectionSummary,
    now: Milliseconds,
  ): boolean {
    const { incarnation } = replica;
    const { endedAt = -Infinity } = this.#records.get(incarnation) ?? {};
    if (now - endedAt < REPEATED_WITHIN_MS) return false;
    const cause = { reason, figures: { handed_over: true } };
    if (!this.eject(replica, pool, cause, now)) return false;
    const record = this.#records.get(incarnation);
    if (!record) return false;
    record.level = level;
    record.trialAt = now + Math.min(MAX_PAUSE_MS, trialInMs);
    return true;
  }

  /** What a replica may be given of a request; one that has begun is no trial. */
  standing(
    incarnation: string,
    { repeatable, begun }: {
      readonly repeatable: boolean;
      readonly begun: boolean;
    },
    now: Milliseconds,
  ): Standing {
    const record = this.#records.get(incarnation);
    if (!record || record.endedAt !== undefined) return Standing.open;
    // A slow replica still serves its callers, and one that fails a part of its
    // requests serves the others; a silent one serves nobody.
    const resting = record.reason === EjectionReason.silent
      ? Standing.closed
      : Standing.spare;
    if (record.trial) {
      if (now < record.trial.until) return resting;
      failTrial(record, now);
    }
    if (begun) return resting;
    const waitMs = repeatable ? 0 : REPEATABLE_WAIT_MS;
    return now < record.trialAt + waitMs ? resting : Standing.trial;
  }

  /** Records that a request is assigned: at an ejected replica, a trial. */
  beginTrial(incarnation: string, id: string, now: Milliseconds): void {
    const record = this.#records.get(incarnation);
    if (!record || record.endedAt !== undefined || record.trial) return;
    record.trial = { id, until: now + TRIAL_TIMEOUT_MS };
    record.trials += 1;
    this.#view.metrics.count("replica_trials");
  }

  /** Ends a trial without a result, so that another one may begin. */
  cancelTrial(
    incarnation: string | undefined,
    id: string,
    now: Milliseconds,
  ): void {
    if (incarnation === undefined) return;
    const record = this.#records.get(incarnation);
    if (record?.trial?.id !== id) return;
    record.trial = undefined;
    record.trialAt = now + NEXT_TRIAL_DELAY_MS;
  }

  /** Ends a trial; returns whether it ended the ejection. */
  endTrial(
    incarnation: string,
    id: string,
    isGood: boolean,
    now: Milliseconds,
  ): boolean {
    const record = this.#records.get(incarnation);
    if (record?.trial?.id !== id) return false;
    if (!isGood) {
      failTrial(record, now);
      return false;
    }
    record.trial = undefined;
    record.goodTrials += 1;
    if (record.goodTrials < TRIALS_TO_RETURN[record.reason]) return false;
    record.endedAt = now;
    this.#view.metrics.count("replicas_returned");
    this.#view.events.note("replicaReturned", {
      service: record.service,
      replica: incarnation,
      reason: record.reason,
      ejected_ms: Math.round(now - record.since),
      trials: record.trials,
    });
    return true;
  }
}

function failTrial(record: EjectionRecord, now: Milliseconds): void {
  record.trial = undefined;
  record.goodTrials = 0;
  record.level += 1;
  record.trialAt = now + pauseMs(record.level);
}

function pauseMs(level: number): Milliseconds {
  return Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** Math.min(level, 8));
}

/** A third of the pool, one of a pool of two, none of a pool of one. */
function maxEjected(poolSize: number): number {
  if (poolSize < 2) return 0;
  return Math.max(1, Math.floor(poolSize * MAX_EJECTED_SHARE));
}
