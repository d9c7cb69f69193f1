/**
 * Records what an owner has granted from its accounts, and decides on requests.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Allowance, AllowanceRule, Rate } from "./bounds.ts";
import { Coverage } from "./coverage.ts";
import type { QuotaMembership } from "./messages.ts";
import { ReturnPlaces } from "./return_places.ts";
import { SHARD_COUNT, shardOf } from "./shards.ts";
import { WindowLog } from "./window_log.ts";

/** Interval at which idle accounts are removed. */
const SWEEP_INTERVAL_MS = 10_000;
/**
 * At most this share of the window's limit is granted within
 * {@link BURST_SPAN_SHARE} of the window. When most hosts are killed at once,
 * their records are lost; without this cap, a customer that has just used its
 * full limit could get it once more from the remaining hosts.
 */
const BURST_SHARE = 0.45;
const BURST_SPAN_SHARE = 1 / 4;
/** Lower bound of `retryAfterMs`. */
const MIN_RETRY_MS = 100;
/**
 * `retryAfterMs` when this owner's share of the limit is too small for the
 * request. That happens after a change in the fleet; all hosts choose their
 * owners again within 1.3 s.
 */
const OWNER_CHANGE_RETRY_MS = 1000;

/** A request for units of an account. */
export type QuotaRequest = {
  /** Name of the account: a customer, or the incarnation of a replica. */
  readonly customer: string;
  readonly units: number;
  readonly rate: Rate;
  /** Version of the configuration that defines the rate. */
  readonly version: number;
  /** Longest time that the request may wait for its units. */
  readonly mostWaitMs: Milliseconds;
  /** Absent: the request gets no place to retry at when it is refused. */
  readonly retry?: {
    /** Equal for every attempt of the same request. */
    readonly key: string;
    /** Longest retry delay that the caller accepts. */
    readonly longestMs: Milliseconds;
  };
};

/** An owner's decision: units granted for use after a wait, or a refusal. */
export type QuotaDecision =
  | { readonly type: "granted"; readonly afterMs: Milliseconds }
  | { readonly type: "refused"; readonly retryAfterMs: Milliseconds };

/** Options of {@link QuotaLedger}. */
export type QuotaLedgerOptions = {
  readonly allowance: AllowanceRule;
  /**
   * Time for which members retain what they acquired, to report it to a new
   * owner. A host that has run for less counts only in part.
   */
  readonly retentionMs: () => Milliseconds;
  /** Number of hosts in the fleet, including this one. */
  readonly knownHosts: () => number;
};

type Account = {
  readonly log: WindowLog;
  readonly places: ReturnPlaces;
  rate: Rate;
  version: number;
  /** Window of the last allowance. */
  windowMs: Milliseconds;
};

type Shard = {
  readonly coverage: Coverage;
  readonly accounts: Map<string, Account>;
};

/** The accounts that this host owns, without network access or timers. */
export class QuotaLedger {
  readonly #options: QuotaLedgerOptions;
  readonly #shards: readonly Shard[];
  #sweptAt: Milliseconds = 0;

  constructor(options: QuotaLedgerOptions) {
    this.#options = options;
    this.#shards = Array.from({ length: SHARD_COUNT }, () => ({
      coverage: new Coverage(),
      accounts: new Map(),
    }));
  }

  /** Number of accounts on record. */
  get size(): number {
    return this.#shards.reduce((sum, shard) => sum + shard.accounts.size, 0);
  }

  /**
   * Applies the report of a host: its shards, and what it acquired elsewhere.
   */
  setMember(
    host: HostId,
    { shards, upMs, usage }: Omit<QuotaMembership, "type">,
    now: Milliseconds,
  ): void {
    for (const [index, { coverage }] of this.#shards.entries()) {
      if (shards.includes(index)) coverage.add(host, upMs, now);
      else coverage.remove(host);
    }
    for (const { customer, units, agoMs, rate, version } of usage) {
      const { log } = this.#accountFor(customer, { rate, version });
      log.add(units, now - agoMs);
    }
  }

  /** Removes an unreachable host from all shards. */
  removeMember(host: HostId, now: Milliseconds): void {
    this.setMember(host, { shards: [], upMs: 0, usage: [] }, now);
  }

  /** Grants units, in advance if they are available within `mostWaitMs`. */
  acquire(request: QuotaRequest, now: Milliseconds): QuotaDecision {
    this.#sweep(now);
    const { customer, units, mostWaitMs, retry } = request;
    const account = this.#accountFor(customer, request);
    const { log, rate, places } = account;
    const share = this.#shareOf(this.#shardOf(customer).coverage, now);
    const rated = { name: customer, rate };
    const allowance = this.#options.allowance(rated, share);
    const { windowMs } = allowance;
    account.windowMs = windowMs;
    log.expire(now, windowMs);
    const hadPlace = retry !== undefined && places.claim(retry.key, now);
    const setAside = hadPlace ? 0 : places.unitsAt(now);
    const afterMs = waitFor(log, units + setAside, allowance, now);
    if (afterMs <= mostWaitMs) {
      log.add(units, now + afterMs);
      return { type: "granted", afterMs };
    }
    const waitMsFor = (needed: number) => waitFor(log, needed, allowance, now);
    const waitMs = setAside > 0 ? waitMsFor(units) : afterMs;
    const retryAfterMs = !Number.isFinite(waitMs)
      ? OWNER_CHANGE_RETRY_MS
      : retry
      ? places.retryAfterMs({
        key: retry.key,
        hadPlace,
        units,
        waitMsFor,
        longestRetryMs: retry.longestMs,
        perSecond: allowance.units * 1000 / windowMs,
      }, now)
      : waitMs;
    return {
      type: "refused",
      retryAfterMs: Math.max(MIN_RETRY_MS, retryAfterMs),
    };
  }

  /** Releases units that were acquired `agoMs` ago and not used. */
  release(
    released: {
      readonly customer: string;
      readonly units: number;
      readonly agoMs: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    const account = this.#shardOf(released.customer).accounts.get(
      released.customer,
    );
    account?.log.remove(released.units, now - released.agoMs);
  }

  #shardOf(customer: string): Shard {
    const shard = this.#shards[shardOf(customer)];
    if (!shard) throw new RangeError(`No shard for customer "${customer}"`);
    return shard;
  }

  #shareOf(coverage: Coverage, now: Milliseconds): number {
    const hosts = this.#options.knownHosts();
    const windowMs = this.#options.retentionMs();
    return coverage.shareAt(now, { hosts, windowMs });
  }

  /** The account, with the rate of the newest configuration observed. */
  #accountFor(
    customer: string,
    { rate, version }: Pick<QuotaRequest, "rate" | "version">,
  ): Account {
    const { accounts } = this.#shardOf(customer);
    const known = accounts.get(customer);
    if (!known) {
      const windowMs = this.#options.retentionMs();
      const places = new ReturnPlaces();
      const log = new WindowLog();
      const account = { log, places, rate, version, windowMs };
      accounts.set(customer, account);
      return account;
    }
    if (version >= known.version) {
      known.rate = rate;
      known.version = version;
    }
    return known;
  }

  #sweep(now: Milliseconds): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    for (const { accounts } of this.#shards) {
      for (const [customer, { log, windowMs }] of accounts) {
        log.expire(now, windowMs);
        if (log.sum <= 0) accounts.delete(customer);
      }
    }
  }
}

/** Time until units can be granted; Infinity if there is none. */
function waitFor(
  log: WindowLog,
  units: number,
  { units: limit, windowMs }: Allowance,
  now: Milliseconds,
): Milliseconds {
  const availableAt = Math.max(
    log.availableAt(units, { limit, spanMs: windowMs, now }),
    log.availableAt(units, {
      limit: Math.max(units, limit * BURST_SHARE),
      spanMs: windowMs * BURST_SPAN_SHARE,
      now,
    }),
  );
  return availableAt - now;
}
