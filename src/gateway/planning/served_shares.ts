/**
 * Keeps the less urgent and the larger requests of an overloaded service from
 * starving: a group that is served much less often than the service as a whole
 * is owed service, until it has caught up to its assured share.
 */
import type { Milliseconds } from "../../util/units.ts";
import { DecayingSum } from "./decaying_sum.ts";
import type { PlanRequest } from "./messages.ts";

/** How often a less urgent request is served, compared with all requests. */
const LESS_URGENT_SHARE = 0.25;
/** How often a large request is served, compared with all requests. */
const LARGE_SHARE = 0.5;
/** Requests count as large by the share of recent requests that are smaller. */
const LARGE_RANKS = [0.9, 0.7];
/** Time in which a request stops to count. */
const DECAY_MS = 10_000;
/** Number of recent sizes with which a request is compared. */
const RECENT_SIZES = 100;
/** Too few requests say nothing about a group. */
const MIN_ASKED = 1;

/** What of a request decides about its groups. */
export type SharedRequest = Pick<
  PlanRequest,
  "service" | "priority" | "tokens"
>;

/** Requests of a group, and those of them that were assigned. */
type Group = { readonly asked: DecayingSum; readonly served: DecayingSum };

/** The requests of one service. */
type ServiceShares = {
  readonly all: Group;
  readonly byPriority: Map<number, Group>;
  readonly bySize: readonly Group[];
  /** A ring of sizes. */
  readonly sizes: number[];
  next: number;
};

/** How often the groups of requests at one planner are served. */
export class ServedShares {
  readonly #services = new Map<string, ServiceShares>();

  /** Counts a request that arrives; not its retry. */
  noteRequest(request: SharedRequest, now: Milliseconds): void {
    const service = this.#serviceOf(request.service);
    for (const { asked } of groupsOf(service, request)) {
      asked.add(1, now, DECAY_MS);
    }
    service.sizes[service.next] = request.tokens;
    service.next = (service.next + 1) % RECENT_SIZES;
  }

  /** Counts a request that is assigned. */
  noteGrant(request: SharedRequest, now: Milliseconds): void {
    const service = this.#serviceOf(request.service);
    for (const { served } of groupsOf(service, request)) {
      served.add(1, now, DECAY_MS);
    }
  }

  /** Whether its priority is served less often than is assured. */
  isPriorityOwed(request: SharedRequest, now: Milliseconds): boolean {
    const { all, byPriority } = this.#serviceOf(request.service);
    const group = byPriority.get(request.priority);
    const isUrgent = Math.min(...byPriority.keys()) >= request.priority;
    if (!group || isUrgent) return false;
    return shareOf(group, now) < shareOf(all, now) * LESS_URGENT_SHARE;
  }

  /** Whether requests of its size are served less often than is assured. */
  isSizeOwed(request: SharedRequest, now: Milliseconds): boolean {
    const service = this.#serviceOf(request.service);
    const group = sizeGroupOf(service, request.tokens);
    if (!group) return false;
    return shareOf(group, now) < shareOf(service.all, now) * LARGE_SHARE;
  }

  #serviceOf(name: string): ServiceShares {
    const known = this.#services.get(name);
    if (known) return known;
    const service = {
      all: createGroup(),
      byPriority: new Map<number, Group>(),
      bySize: LARGE_RANKS.map(createGroup),
      sizes: [],
      next: 0,
    };
    this.#services.set(name, service);
    return service;
  }
}

function createGroup(): Group {
  return { asked: new DecayingSum(), served: new DecayingSum() };
}

/** The groups that a request belongs to. */
function groupsOf(
  service: ServiceShares,
  { priority, tokens }: SharedRequest,
): Group[] {
  const known = service.byPriority.get(priority);
  const group = known ?? createGroup();
  if (!known) service.byPriority.set(priority, group);
  const sizeGroup = sizeGroupOf(service, tokens);
  return [service.all, group, ...(sizeGroup ? [sizeGroup] : [])];
}

/** The group of a large request. */
function sizeGroupOf(
  { sizes, bySize }: ServiceShares,
  tokens: number,
): Group | undefined {
  const smaller = sizes.filter((size) => size < tokens).length;
  const rank = smaller / Math.max(1, sizes.length);
  return bySize[LARGE_RANKS.findIndex((least) => rank >= least)];
}

/** The share of a group's requests that are served; 1 without requests. */
function shareOf({ asked, served }: Group, now: Milliseconds): number {
  const sum = asked.at(now, DECAY_MS);
  return sum < MIN_ASKED ? 1 : served.at(now, DECAY_MS) / sum;
}
