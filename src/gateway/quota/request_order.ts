/**
 * Decides how much must be available in an account's window before a request
 * is granted: more than its own units, if others must be left room. It only
 * ever refuses more than the window does, so it can't exceed the limit.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Allowance } from "./bounds.ts";
import { LargeRequestRoom } from "./large_request_room.ts";
import {
  type AccountState,
  NO_RESERVE,
  type PrioritizedUnits,
  PriorityDemand,
  type PriorityReserve,
} from "./priority_demand.ts";
import type { ClaimedPlace } from "./return_places.ts";
import type { Need } from "./window_wait.ts";

/** Less urgent priorities count as this one, to bound the state. */
const LOWEST_PRIORITY = 15;

/** Which requests of an account go first. */
export type OrderRules = {
  /** Urgent requests go first, with a small part assured to the others. */
  readonly priorities: boolean;
  /** Room is kept for large requests. */
  readonly largeRequests: boolean;
};

/** Why a request for which there are enough units is refused. */
export const HoldCause = {
  /** More urgent requests are expected to need the units. */
  urgent: "urgent",
  /** The units belong to the part assured to less urgent requests. */
  assured: "assured",
  /** The units are kept for a larger request. */
  large: "large",
} as const;
/** One of the values of {@link HoldCause}. */
export type HoldCause = typeof HoldCause[keyof typeof HoldCause];

/** What must be available for a request; units unless stated otherwise. */
export type Requirement = {
  /** Available in total, those of the request included. */
  readonly roomUnits: number;
  /** Left to others beside that, within the next `spanMs`. */
  keptUnits(spanMs: Milliseconds): number;
  /** Share of the account that requests like this may use. */
  readonly share: number;
  /** What a request is refused for if there are enough units for it alone. */
  causeIn(windowMs: Milliseconds): HoldCause;
};

/** The order in which the requests of one account are granted. */
export class RequestOrder {
  readonly #demand = new PriorityDemand();
  /** By the priority of the requests that they are kept for. */
  readonly #rooms = new Map<number, LargeRequestRoom>();
  readonly #rules: () => OrderRules;

  constructor(rules: () => OrderRules) {
    this.#rules = rules;
  }

  /** Records a request, and returns what must be available for it. */
  ask(
    request: PrioritizedUnits,
    state: AccountState,
    now: Milliseconds,
  ): Requirement {
    const { priorities, largeRequests } = this.#rules();
    const room = largeRequests
      ? this.#roomFor(request, state.allowance, now)
      : request.units;
    if (!priorities) return requirementOf(request, room, NO_RESERVE);
    this.#demand.noteAsked(request, now);
    const reserve = this.#demand.reserveFor(request, state, now);
    return requirementOf(request, room, reserve);
  }

  /** Records units granted for use at `at`. */
  noteGranted(request: PrioritizedUnits, at: Milliseconds): void {
    const { priorities, largeRequests } = this.#rules();
    if (priorities) this.#demand.noteGranted(request, at);
    if (!largeRequests) return;
    this.#rooms.get(this.#rankOf(request))?.noteGranted(request.units);
  }

  /** Records units that another owner granted for use at `at`. */
  noteReported(request: PrioritizedUnits, at: Milliseconds): void {
    if (this.#rules().priorities) this.#demand.noteReported(request, at);
  }

  /** Records a refused request that got a retry time. */
  noteRefused(
    request: PrioritizedUnits,
    refusal: {
      readonly allowance: Allowance;
      readonly retryAfterMs: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    const { priorities, largeRequests } = this.#rules();
    if (priorities) this.#demand.noteRefused(request.priority, now);
    if (!largeRequests) return;
    const room = this.#rooms.get(this.#rankOf(request));
    room?.noteRefused(request.units, refusal, now);
  }

  /** Removes units granted for `at` that were not used. */
  release(request: PrioritizedUnits, at: Milliseconds): void {
    if (this.#rules().priorities) this.#demand.release(request, at);
  }

  /** Time until room is collected for a request. */
  collectMs(
    request: PrioritizedUnits,
    allowance: Allowance,
    now: Milliseconds,
  ): Milliseconds {
    if (!this.#rules().largeRequests) return 0;
    const room = this.#rooms.get(this.#rankOf(request));
    return room?.collectMs(request.units, allowance, now) ?? 0;
  }

  /** Room for the request, and for larger ones that are not less urgent. */
  #roomFor(
    request: PrioritizedUnits,
    allowance: Allowance,
    now: Milliseconds,
  ): number {
    const { units } = request;
    const ownRank = this.#rankOf(request);
    const own = this.#rooms.get(ownRank) ?? new LargeRequestRoom();
    this.#rooms.set(ownRank, own);
    own.noteAsked(units, allowance, now);
    let most = units;
    for (const [rank, room] of this.#rooms) {
      if (rank > ownRank) continue;
      most = Math.max(most, room.requiredFor(units, allowance, now));
    }
    return most;
  }

  /** Without priorities, all requests count alike. */
  #rankOf({ priority }: PrioritizedUnits): number {
    return this.#rules().priorities ? priority : 0;
  }
}

/** A request's units and priority; without a priority it is most urgent. */
export function prioritizedUnits(
  { units, priority = 0 }: {
    readonly units: number;
    readonly priority?: number;
  },
): PrioritizedUnits {
  const whole = Math.min(LOWEST_PRIORITY, Math.max(0, Math.floor(priority)));
  return { units, priority: whole };
}

function requirementOf(
  { units }: PrioritizedUnits,
  room: number,
  reserve: PriorityReserve,
): Requirement {
  const { forLessUrgent, forUrgent, share } = reserve;
  return {
    roomUnits: room,
    keptUnits: (spanMs) => forLessUrgent + forUrgent(spanMs),
    share,
    causeIn: (windowMs) => {
      const urgent = forUrgent(windowMs);
      if (room - units > urgent + forLessUrgent) return HoldCause.large;
      return forLessUrgent > urgent ? HoldCause.assured : HoldCause.urgent;
    },
  };
}

/** What must be available for a request. */
export function needOf(
  { units, required, setAside, place }: {
    readonly units: number;
    readonly required: Requirement;
    readonly setAside: number;
    readonly place: ClaimedPlace | undefined;
  },
): Need {
  // These units were collected from all others already.
  if (place?.isSetAside) return { units };
  return {
    units: Math.max(units + setAside, required.roomUnits),
    keptUnits: required.keptUnits,
  };
}

/** What must be available if requests are granted as they arrive. */
export function unorderedRequirement(units: number): Requirement {
  return {
    roomUnits: units,
    keptUnits: () => 0,
    share: 1,
    causeIn: () => HoldCause.urgent,
  };
}
