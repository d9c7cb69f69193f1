/**
 * Records which customers of a service are active, and which are held to their
 * share. Customers that send nothing are forgotten.
 */
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import type { SharedRequest } from "./customer_shares.ts";
import { DecayingSum } from "./decaying_sum.ts";
import { RateShare } from "./rate_share.ts";

/** Time constant of the rates and of the mean use. */
const RATE_WINDOW_MS = 1000;
/** Interval at which the use of customers is sampled. */
const SAMPLE_INTERVAL_MS = 20;
/** A customer that was not held for this long is no longer held. */
const RELEASE_AFTER_MS = 2000;
/** Bounds the estimate of what refused requests would have used. */
const MIN_ACCEPTED_SHARE = 0.01;
/** Interval at which idle customers are removed. */
const SWEEP_INTERVAL_MS = 250;
/** Maximum number of customers on record for one service and priority. */
const MAX_CUSTOMERS = 5000;

/** Requests and grants while a customer was held to its share. */
export type Hold = {
  readonly since: Milliseconds;
  lastAt: Milliseconds;
  asked: number;
  granted: number;
};

/** What a customer has asked of a service lately. */
export type Activity = {
  readonly service: string;
  readonly priority: number;
  readonly customer: string;
  askedAt: Milliseconds;
  readonly asked: DecayingSum;
  readonly granted: DecayingSum;
  readonly refused: DecayingSum;
  /** Mean of what its requests use, and wait for, at the same time. */
  meanUse: number;
  /** Present while it is held to its share. */
  hold: Hold | undefined;
  /** Spreads the retry times of its refused requests. */
  readonly retries: RateShare;
};

/** Rates of one customer at one service, in requests per second. */
export type CustomerRates = {
  readonly service: string;
  readonly priority: number;
  readonly customer: string;
  readonly asked: number;
  readonly granted: number;
  /** Mean tokens of memory, or calls in flight. */
  readonly meanUse: number;
  readonly isHeld: boolean;
};

/** Options of {@link CustomerActivity}. */
export type CustomerActivityOptions = {
  readonly random: () => number;
  /** Called when a customer is first held to its share. */
  noteHeld(activity: Activity): void;
  /** Called when a customer is no longer held. */
  noteReleased(activity: Activity, hold: Hold, now: Milliseconds): void;
};

/** The recent activity of customers, by service and priority. */
export class CustomerActivity {
  readonly #options: CustomerActivityOptions;
  readonly #sampledAt = new Map<string, Milliseconds>();
  /** By service and priority, and then by customer. */
  readonly #pools = new Map<string, Map<string, Activity>>();
  #sweptAt: Milliseconds = 0;

  constructor(options: CustomerActivityOptions) {
    this.#options = options;
  }

  /** Number of customers on record; one counts for each service it uses. */
  get size(): number {
    return this.#all().length;
  }

  /** Counts a request. */
  noteRequest(request: SharedRequest, now: Milliseconds): void {
    this.#sweep(now);
    const activity = this.#activityOf(request);
    activity.askedAt = now;
    activity.asked.add(1, now, RATE_WINDOW_MS);
    if (activity.hold) activity.hold.asked += 1;
  }

  /** Counts a grant. */
  noteGrant(request: SharedRequest, now: Milliseconds): void {
    const activity = this.#activityOf(request);
    activity.granted.add(1, now, RATE_WINDOW_MS);
    if (activity.hold) activity.hold.granted += 1;
  }

  /** Records that a request is refused or waits for its customer's share. */
  noteHeld(request: SharedRequest, now: Milliseconds): void {
    const activity = this.#activityOf(request);
    if (activity.hold) {
      activity.hold.lastAt = now;
      return;
    }
    activity.hold = { since: now, lastAt: now, asked: 0, granted: 0 };
    this.#options.noteHeld(activity);
  }

  /** Counts a refusal, after which the caller may retry. */
  noteRefusal(request: SharedRequest, now: Milliseconds): void {
    this.#activityOf(request).refused.add(1, now, RATE_WINDOW_MS);
  }

  /** Samples what the customers of a service use. */
  sample(
    service: string,
    priority: number,
    use: ReadonlyMap<string, number>,
    now: Milliseconds,
  ): void {
    const key = poolKey(service, priority);
    const elapsedMs = now - (this.#sampledAt.get(key) ?? now);
    if (elapsedMs < SAMPLE_INTERVAL_MS && this.#sampledAt.has(key)) return;
    this.#sampledAt.set(key, now);
    const weight = 1 - Math.exp(-elapsedMs / RATE_WINDOW_MS);
    for (const activity of this.#pools.get(key)?.values() ?? []) {
      const used = use.get(activity.customer) ?? 0;
      activity.meanUse += weight * (used - activity.meanUse);
    }
  }

  /**
   * What a customer asked for on average, including requests that were refused.
   */
  meanDemand(
    { service, priority, customer }: Omit<SharedRequest, "tokens">,
    now: Milliseconds,
  ): number {
    const activity = this.#pools.get(poolKey(service, priority))
      ?.get(customer);
    if (!activity) return 0;
    const asked = activity.asked.at(now, RATE_WINDOW_MS);
    const refused = activity.refused.at(now, RATE_WINDOW_MS);
    const accepted = Math.max(asked * MIN_ACCEPTED_SHARE, asked - refused);
    return accepted > 0 ? activity.meanUse * asked / accepted : 0;
  }

  /** When to retry a request of a customer that is held to its share. */
  retryAfterMs(
    request: SharedRequest,
    longestRetryMs: Milliseconds,
    now: Milliseconds,
  ): Milliseconds {
    const { granted, retries } = this.#activityOf(request);
    const perSecond = Math.max(
      1,
      granted.at(now, RATE_WINDOW_MS) * 1000 / RATE_WINDOW_MS,
    );
    return retries.retryAfterMs(
      { perSecond, minWaitMs: 0, longestRetryMs },
      now,
    );
  }

  /** The rates of the customers with the most requests. */
  mostActive(count: number, now: Milliseconds): CustomerRates[] {
    const rates = this.#all().map((activity) => ({
      service: activity.service,
      priority: activity.priority,
      customer: activity.customer,
      meanUse: activity.meanUse,
      asked: activity.asked.at(now, RATE_WINDOW_MS) * 1000 / RATE_WINDOW_MS,
      granted: activity.granted.at(now, RATE_WINDOW_MS) * 1000 /
        RATE_WINDOW_MS,
      isHeld: activity.hold !== undefined,
    }));
    return rates.sort((a, b) => b.asked - a.asked).slice(0, count);
  }

  #all(): Activity[] {
    return [...this.#pools.values()].flatMap((pool) => [...pool.values()]);
  }

  #activityOf({ service, priority, customer }: SharedRequest): Activity {
    const key = poolKey(service, priority);
    const pool = this.#pools.get(key) ?? new Map<string, Activity>();
    this.#pools.set(key, pool);
    const known = pool.get(customer);
    if (known) return known;
    const activity: Activity = {
      service,
      priority,
      customer,
      askedAt: -Infinity,
      asked: new DecayingSum(),
      granted: new DecayingSum(),
      refused: new DecayingSum(),
      meanUse: 0,
      hold: undefined,
      retries: new RateShare(this.#options.random),
    };
    pool.set(customer, activity);
    evictOldest(pool, MAX_CUSTOMERS);
    return activity;
  }

  #sweep(now: Milliseconds): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    for (const [key, pool] of this.#pools) {
      for (const activity of pool.values()) {
        this.#release(activity, now);
        const isIdle = now - activity.askedAt >= RELEASE_AFTER_MS;
        if (isIdle && !activity.hold) pool.delete(activity.customer);
      }
      if (pool.size > 0) continue;
      this.#pools.delete(key);
      this.#sampledAt.delete(key);
    }
  }

  #release(activity: Activity, now: Milliseconds): void {
    const { hold } = activity;
    if (!hold || now - hold.lastAt < RELEASE_AFTER_MS) return;
    activity.hold = undefined;
    this.#options.noteReleased(activity, hold, now);
  }
}

function poolKey(service: string, priority: number): string {
  return `${priority} ${service}`;
}
