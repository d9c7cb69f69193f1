/**
 * When replicas that limit their requests are given the next one. A planner's
 * pace only guides: the owner of the limit counts for all hosts, and what it
 * refuses sets the pace here.
 */
import type { Milliseconds } from "../../util/units.ts";
import { forgetOldest } from "../../util/forget_oldest.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { PlanProgress } from "./messages.ts";
import { LEAST_PER_SECOND } from "../limits/allowance.ts";

/**
 * A limited replica is given requests at up to this multiple of its rate, so
 * that what a quiet second left unused is caught up with; the limit's owner
 * holds the rate itself. Without a pace all requests that wait for a replica
 * would go for the one that its owner lets through, the urgent no sooner.
 */
const CATCH_UP = 2;
/** Requests that may go at once: an owner lets two through in a second at 1.4. */
const AT_ONCE = 2;
/**
 * A host may hear of a limit before the planner does. Its refusal holds for so
 * long then, or the planner would name the replica again at once.
 */
const UNHEARD_MS = 500;
/** Replicas whose pace is kept. */
const MOST_REPLICAS = 3000;

type Pace = {
  /** When all that was given has been taken, at the pace. */
  takenAt: Milliseconds;
  /** Its limit has no room until then. */
  fullUntil: Milliseconds;
  /** When a host was last refused. */
  refusedAt: Milliseconds;
};

/** The pace of limited replicas, by incarnation. */
export class LimitPace {
  readonly #limitOf: (incarnation: string) => number | undefined;
  readonly #paces = new Map<string, Pace>();

  constructor(limitOf: (incarnation: string) => number | undefined) {
    this.#limitOf = limitOf;
  }

  /** Time until the replica may be given a request; 0: now. */
  waitMs(incarnation: string, now: Milliseconds): Milliseconds {
    const perSecond = this.#limitOf(incarnation);
    const pace = this.#paces.get(incarnation);
    if (!pace) return 0;
    if (perSecond === undefined) {
      const until = Math.min(pace.fullUntil, pace.refusedAt + UNHEARD_MS);
      return Math.max(0, until - now);
    }
    const aheadMs = (AT_ONCE - 1) * intervalMs(perSecond);
    const at = Math.max(pace.takenAt - aheadMs, pace.fullUntil);
    return Math.max(0, at - now);
  }

  /** Whether the replica may be given a request now. */
  hasRoom(incarnation: string, now: Milliseconds): boolean {
    return this.waitMs(incarnation, now) === 0;
  }

  /** Time until one of the replicas may be given a request; 0: now. */
  soonestMs(
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): Milliseconds {
    let soonest = Infinity;
    for (const { incarnation } of replicas) {
      soonest = Math.min(soonest, this.waitMs(incarnation, now));
      if (soonest === 0) return 0;
    }
    return soonest;
  }

  /** The replica is given a request. */
  noteGrant(incarnation: string, now: Milliseconds): void {
    const perSecond = this.#limitOf(incarnation);
    if (perSecond === undefined) return;
    const pace = this.#paceOf(incarnation);
    pace.takenAt = Math.max(pace.takenAt, now) + intervalMs(perSecond);
  }

  /** A host was refused; where that was for the limit it says for how long. */
  noteRefusal(
    incarnation: string,
    { retryAfterMs }: Pick<PlanProgress, "retryAfterMs">,
    now: Milliseconds,
  ): void {
    if (retryAfterMs === undefined) return;
    const pace = this.#paceOf(incarnation);
    pace.refusedAt = now;
    pace.fullUntil = Math.max(pace.fullUntil, now + retryAfterMs);
  }

  #paceOf(incarnation: string): Pace {
    const known = this.#paces.get(incarnation);
    if (known) return known;
    const pace = { takenAt: 0, fullUntil: 0, refusedAt: 0 };
    this.#paces.set(incarnation, pace);
    forgetOldest(this.#paces, MOST_REPLICAS);
    return pace;
  }
}

function intervalMs(perSecond: number): Milliseconds {
  return 1000 / (CATCH_UP * Math.max(LEAST_PER_SECOND, perSecond));
}
