/**
 * Lets the urgent requests of one account go first, without a queue: a less
 * urgent request is granted only if it leaves room for the urgent ones that are
 * expected, and a small part is assured to the less urgent.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Allowance } from "./bounds.ts";
import { WindowLog } from "./window_log.ts";

/** The demand is measured over this part of the window. */
const DEMAND_SPAN_SHARE = 1 / 4;
/** An account that is younger is taken to have this age, to even out chance. */
const MIN_SPAN_SHARE = 1 / 8;
/**
 * Of the units that a priority and the less urgent ones may use together, the
 * part that is assured to the less urgent.
 */
const ASSURED_SHARE = 0.1;
/** Decay of a priority's largest request, for each of its requests. */
const LARGEST_DECAY = 0.9;

/** A request's units and priority; 0 is the most urgent. */
export type PrioritizedUnits = {
  readonly units: number;
  readonly priority: number;
};

/** What a request must leave to others. */
export type PriorityReserve = {
  /** Units that must remain available in the next `spanMs`. */
  forUrgent(spanMs: Milliseconds): number;
  /** Units of the assured part that less urgent requests still lack. */
  readonly forLessUrgent: number;
  /** Share of the account's units that requests of its priority may use. */
  readonly share: number;
};

/** A reserve that leaves nothing to others. */
export const NO_RESERVE: PriorityReserve = {
  forUrgent: () => 0,
  forLessUrgent: 0,
  share: 1,
};

type Level = {
  readonly priority: number;
  /** Granted or not, in the span in which demand is measured. */
  readonly asked: WindowLog;
  /** In the last window. */
  readonly granted: WindowLog;
  largest: number;
  refusedAt: Milliseconds;
};

/** An account's units, by what was granted and the span of its allowance. */
export type AccountState = {
  readonly log: WindowLog;
  readonly allowance: Allowance;
};

/** What the requests of one account ask for and get, by priority. */
export class PriorityDemand {
  /** The most urgent first. */
  #levels: Level[] = [];
  /** When the first request was asked for. */
  #since: Milliseconds = Infinity;

  /** Records a request, before the decision on it. */
  noteAsked({ units, priority }: PrioritizedUnits, now: Milliseconds): void {
    const level = this.#levelOf(priority);
    level.asked.add(units, now);
    level.largest = Math.max(units, level.largest * LARGEST_DECAY);
    this.#since = Math.min(this.#since, now);
  }

  /**
   * Records units that another owner granted for use at `at`; whoever asked
   * that one in vain is not known.
   */
  noteReported(request: PrioritizedUnits, at: Milliseconds): void {
    this.noteAsked(request, at);
    this.noteGranted(request, at);
  }

  /** Records units granted for use at `at`. */
  noteGranted({ units, priority }: PrioritizedUnits, at: Milliseconds): void {
    this.#levelOf(priority).granted.add(units, at);
  }

  /** Records a refusal. */
  noteRefused(priority: number, now: Milliseconds): void {
    this.#levelOf(priority).refusedAt = now;
  }

  /** Removes units granted for `at` that were not used. */
  release({ units, priority }: PrioritizedUnits, at: Milliseconds): void {
    this.#levelOf(priority).granted.remove(units, at);
  }

  /** What a request must leave to others now. */
  reserveFor(
    request: PrioritizedUnits,
    { log, allowance }: AccountState,
    now: Milliseconds,
  ): PriorityReserve {
    const { units: limit, windowMs } = allowance;
    this.#expire(now, windowMs);
    if (this.#levels.length <= 1) return NO_RESERVE;
    const spanMs = Math.max(
      windowMs * MIN_SPAN_SHARE,
      Math.min(windowMs * DEMAND_SPAN_SHARE, now - this.#since),
    );
    const perWindow = windowMs / spanMs;
    const { urgent, others } = this.#splitAt(request.priority);
    const { remaining, assured } = partOf(urgent, limit, perWindow);
    const lessUrgent = others.filter((level) =>
      level.priority > request.priority
    );
    const forLessUrgent = hasRefusal(lessUrgent, now - spanMs)
      ? missingPart(lessUrgent, ASSURED_SHARE * remaining, perWindow)
      : 0;
    const share = limit > 0 ? remaining / limit : 1;
    const isContended = hasRefusal(this.#levels, now - spanMs) ||
      askedBy(this.#levels) * perWindow > limit;
    const isAssured = grantedTo(others) + request.units <= assured;
    if (isAssured || !isContended || urgent.length === 0) {
      return { forUrgent: () => 0, forLessUrgent, share };
    }
    const perMs = askedBy(urgent) / spanMs;
    const largest = Math.max(...urgent.map((level) => level.largest));
    const forUrgent = (withinMs: Milliseconds) =>
      log.shortfall(perMs, { spanMs: withinMs, now }) + largest;
    return { forUrgent, forLessUrgent, share };
  }

  /** Separates the more urgent priorities that are in demand. */
  #splitAt(priority: number): { urgent: Level[]; others: Level[] } {
    return {
      urgent: this.#levels.filter((level) =>
        level.priority < priority && level.asked.sum > 0
      ),
      others: this.#levels.filter((level) => level.priority >= priority),
    };
  }

  #expire(now: Milliseconds, windowMs: Milliseconds): void {
    for (const { asked, granted } of this.#levels) {
      asked.expire(now, windowMs * DEMAND_SPAN_SHARE);
      granted.expire(now, windowMs);
    }
    this.#levels = this.#levels.filter(({ asked, granted }) =>
      asked.sum > 0 || granted.sum > 0
    );
  }

  #levelOf(priority: number): Level {
    const known = this.#levels.find((level) => level.priority === priority);
    if (known) return known;
    const level: Level = {
      priority,
      asked: new WindowLog(),
      granted: new WindowLog(),
      largest: 0,
      refusedAt: -Infinity,
    };
    this.#levels.push(level);
    this.#levels.sort((a, b) => a.priority - b.priority);
    return level;
  }
}

/**
 * The units that remain for the requests less urgent than `urgent`, and the
 * part of them that is assured whatever the urgent ones ask for.
 */
function partOf(
  urgent: readonly Level[],
  limit: number,
  perWindow: number,
): { remaining: number; assured: number } {
  let remaining = limit;
  let assured = limit;
  for (const level of urgent) {
    assured = ASSURED_SHARE * remaining;
    remaining = Math.max(assured, remaining - level.asked.sum * perWindow);
  }
  return { remaining, assured };
}

/** Units of the assured part that these ask for and have not been granted. */
function missingPart(
  levels: readonly Level[],
  assured: number,
  perWindow: number,
): number {
  const largest = Math.max(...levels.map((level) => level.largest));
  const asked = askedBy(levels) * perWindow + largest;
  return Math.max(0, Math.min(assured, asked) - grantedTo(levels));
}

function askedBy(levels: readonly Level[]): number {
  return levels.reduce((sum, { asked }) => sum + asked.sum, 0);
}

function grantedTo(levels: readonly Level[]): number {
  return levels.reduce((sum, { granted }) => sum + granted.sum, 0);
}

function hasRefusal(levels: readonly Level[], since: Milliseconds): boolean {
  return levels.some(({ refusedAt }) => refusedAt > since);
}
