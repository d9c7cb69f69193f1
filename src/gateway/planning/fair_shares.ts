/**
 * Max-min fair shares of what the requests of customers use at the same time:
 * memory of a model service, calls in flight at a plain service. Holding the
 * concurrent use equal shares memory over time and slot time without forecasts
 * of how long a request runs, and the ledger already has it.
 */
import type { Milliseconds } from "../../util/units.ts";
import { type Activity, CustomerActivity } from "./customer_activity.ts";
import type {
  CustomerShares,
  PlainPool,
  RankedRequest,
  SharedRequest,
} from "./customer_shares.ts";
import { fairLevel, type WeightedDemand } from "./fair_level.ts";
import type { Ledger } from "./ledger.ts";
import type { PlanRequest } from "./messages.ts";
import type { PlannerView } from "./view.ts";

/**
 * Calls in flight per slot of a plain service that customers share while it is
 * overloaded. Above one, so that a slot that becomes free has a call queued;
 * not far above, since customers within their shares wait behind those calls.
 */
const PLAIN_CALLS_PER_SLOT = 1.2;
/** What a customer may use for a moment, as a multiple of its share. */
const BURST_FACTOR = 4;
/** How long a computed level is used. */
const LEVEL_TTL_MS = 5;
/** Added to the priority of requests beyond their customer's share. */
const BEYOND_SHARE = 0.5;

/** Options of {@link FairShares}. */
export type FairSharesOptions = {
  readonly view: Pick<
    PlannerView,
    "scheduling" | "weightOf" | "random" | "events" | "metrics"
  >;
  readonly ledger: Pick<Ledger, "customers">;
};

/** Shares by the use of each customer in the planner's ledger. */
export class FairShares implements CustomerShares {
  readonly #view: FairSharesOptions["view"];
  readonly #ledger: FairSharesOptions["ledger"];
  readonly #activity: CustomerActivity;

  /** The last level of each service and priority. */
  readonly #levels = new Map<string, { at: Milliseconds; level: number }>();

  constructor({ view, ledger }: FairSharesOptions) {
    this.#view = view;
    this.#ledger = ledger;
    this.#activity = new CustomerActivity({
      random: view.random,
      noteHeld: (activity) => this.#noteHeld(activity),
      noteReleased: ({ service, customer, priority }, hold, now) =>
        view.events.note("customerReleased", {
          service,
          customer,
          priority,
          held_ms: Math.round(now - hold.since),
          asked: hold.asked,
          granted: hold.granted,
        }),
    });
  }

  noteRequest(request: SharedRequest, now: Milliseconds): void {
    if (this.#isOn) this.#activity.noteRequest(request, now);
  }

  noteGrant(request: SharedRequest, now: Milliseconds): void {
    if (this.#isOn) this.#activity.noteGrant(request, now);
  }

  noteNotServed({ request, priority }: RankedRequest, now: Milliseconds): void {
    if (priority > request.priority) this.#activity.noteHeld(request, now);
  }

  rank(
    waiting: Iterable<RankedRequest>,
    memoryOf: (service: string) => number,
    now: Milliseconds,
  ): void {
    if (!this.#isOn) return;
    const pools = new Map<string, RankedRequest[]>();
    for (const queued of waiting) {
      const { service, priority } = queued.request;
      const key = `${priority} ${service}`;
      const pool = pools.get(key);
      if (pool) pool.push(queued);
      else pools.set(key, [queued]);
    }
    for (const pool of pools.values()) this.#rankPool(pool, memoryOf, now);
  }

  hasPlainRoom(
    request: SharedRequest,
    { slots, inFlight }: PlainPool,
    now: Milliseconds,
  ): boolean {
    if (!this.#isOn) return true;
    const { service, priority, customer } = request;
    const use = this.#ledger.customers.of(service, priority);
    this.#activity.sample(service, priority, use, now);
    if (inFlight < slots) return true;
    const others = use.size - (use.has(customer) ? 1 : 0);
    const isAlone = others === 0 &&
      !this.#ledger.customers.hasMoreUrgentOf(request);
    if (isAlone) return true;
    const capacity = slots * PLAIN_CALLS_PER_SLOT;
    const level = this.#levelOf(request, { capacity, demand: () => use }, now);
    const ownUse = use.get(customer) ?? 0;
    return !this.#isBeyond(request, ownUse, level, now);
  }

  refusePlain(
    request: SharedRequest & Pick<PlanRequest, "longestRetryMs">,
    now: Milliseconds,
  ): Milliseconds {
    this.#activity.noteRefusal(request, now);
    this.#activity.noteHeld(request, now);
    this.#view.metrics.count("customer_share_refusals");
    return this.#activity.retryAfterMs(request, request.longestRetryMs, now);
  }

  mostActive(count: number, now: Milliseconds) {
    return this.#activity.mostActive(count, now);
  }

  get #isOn(): boolean {
    return this.#view.scheduling.customerShares;
  }

  /** The fair share of a customer with weight 1, of what is left to it. */
  #levelOf(
    { service, priority }: SharedRequest,
    shared: {
      readonly capacity: number;
      demand(): ReadonlyMap<string, number>;
    },
    now: Milliseconds,
  ): number {
    const key = `${priority} ${service}`;
    const known = this.#levels.get(key);
    if (known && now - known.at < LEVEL_TTL_MS) return known.level;
    const demands: WeightedDemand[] = [];
    for (const [customer, amount] of shared.demand()) {
      const mean = this.#activity.meanDemand(
        { service, priority, customer },
        now,
      );
      const weight = this.#view.weightOf(customer);
      demands.push({ weight, amount: Math.max(amount, mean) });
    }
    const moreUrgent = this.#ledger.customers.moreUrgentThan(priority, service);
    const level = fairLevel(demands, shared.capacity - moreUrgent);
    this.#levels.set(key, { at: now, level });
    return level;
  }

  /**
   * Whether a request is beyond its customer's share. A customer that asks for
   * less than its share on average may exceed it for a moment.
   */
  #isBeyond(
    request: SharedRequest,
    before: number,
    level: number,
    now: Milliseconds,
  ): boolean {
    if (before === 0) return false;
    const share = this.#view.weightOf(request.customer) * level;
    const after = before + request.tokens;
    if (after <= share) return false;
    const mean = this.#activity.meanDemand(request, now);
    return mean > share || after > share * BURST_FACTOR;
  }

  #rankPool(
    pool: readonly RankedRequest[],
    memoryOf: (service: string) => number,
    now: Milliseconds,
  ): void {
    const [first] = pool;
    if (!first) return;
    const { service, priority } = first.request;
    const use = this.#ledger.customers.of(service, priority);
    const { customer: one } = first.request;
    const isOnlyOne = use.size <= (use.has(one) ? 1 : 0) &&
      pool.every(({ request: { customer } }) => customer === one);
    if (isOnlyOne) return pool.forEach(resetRank);
    const memory = memoryOf(service);
    // Plain requests are checked against the calls in flight instead.
    const level = memory === 0
      ? Infinity
      : this.#modelLevel(pool, { first, use, memory }, now);
    const ahead = new Map<string, number>();
    for (const queued of [...pool].sort((a, b) => a.dueAt - b.dueAt)) {
      const { customer, tokens } = queued.request;
      const before = ahead.get(customer) ?? use.get(customer) ?? 0;
      ahead.set(customer, before + tokens);
      queued.startTag = before / this.#view.weightOf(customer);
      setRank(queued, this.#isBeyond(queued.request, before, level, now), now);
    }
  }

  #modelLevel(
    pool: readonly RankedRequest[],
    { first, use, memory }: {
      readonly first: RankedRequest;
      readonly use: ReadonlyMap<string, number>;
      readonly memory: number;
    },
    now: Milliseconds,
  ): number {
    const { service, priority } = first.request;
    const demand = () => {
      const sums = new Map(use);
      for (const { request: { customer, tokens } } of pool) {
        sums.set(customer, (sums.get(customer) ?? 0) + tokens);
      }
      this.#activity.sample(service, priority, sums, now);
      return sums;
    };
    return this.#levelOf(first.request, { capacity: memory, demand }, now);
  }

  #noteHeld({ service, customer, priority }: Activity): void {
    const view = this.#view;
    const use = this.#ledger.customers.of(service, priority);
    view.metrics.count("customers_held");
    view.events.note("customerHeld", {
      service,
      customer,
      priority,
      in_use: use.get(customer) ?? 0,
      weight: view.weightOf(customer),
    });
  }
}

function setRank(
  queued: RankedRequest,
  isBeyond: boolean,
  now: Milliseconds,
): void {
  const rank = queued.request.priority + (isBeyond ? BEYOND_SHARE : 0);
  // Others go before it now, so its wait is forecast again at once.
  if (rank > queued.priority) queued.nextForecastAt = now;
  queued.priority = rank;
}

function resetRank(queued: RankedRequest): void {
  queued.startTag = 0;
  queued.priority = queued.request.priority;
}
