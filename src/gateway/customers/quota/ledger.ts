/** What an owner has given out of its customers' quotas. */
import type { HostId, Milliseconds } from "../../../core/ids.ts";
import { type QuotaBounds, type Rate, windowLimitOf } from "./bounds.ts";
import { Coverage } from "./coverage.ts";
import type { QuotaMembership } from "./messages.ts";
import { SHARD_COUNT, shardOf } from "./shards.ts";
import { WindowLog } from "./window_log.ts";

/** Idle customers are forgotten this often: they cost no memory. */
const SWEEP_MS = 10_000;
/**
 * In a quarter of the window no more than this part of its limit is given out.
 * When most hosts are killed at once, what they took is forgotten: a customer
 * that has just taken all of its window would have it again from the others.
 */
const BURST_SHARE = 0.45;
const BURST_SPAN = 1 / 4;
/** A refused caller comes back no sooner, in milliseconds. */
const LEAST_RETRY_MS = 100;
/**
 * Told where this owner's part of the limit is too small for the request: the
 * fleet has changed, and within 1.3 s all its hosts name their owners anew.
 */
const ALONE_RETRY_MS = 1000;

/** Units asked for. */
export type QuotaTake = {
  readonly customer: string;
  readonly units: number;
  readonly rate: Rate;
  /** The configuration that has this rate. */
  readonly version: number;
  /** How long they may be waited for. */
  readonly mostWaitMs: Milliseconds;
};

/** The units are taken, to be used after a wait, or they are not to be had. */
export type Taken =
  | { readonly type: "granted"; readonly afterMs: Milliseconds }
  | { readonly type: "refused"; readonly retryAfterMs: Milliseconds };

/** What a ledger is made from. */
export type QuotaLedgerSource = {
  readonly bounds: () => QuotaBounds;
  /** Hosts of the fleet, this one included. */
  readonly knownHosts: () => number;
};

type Account = { readonly log: WindowLog; rate: Rate; version: number };

type Shard = {
  readonly coverage: Coverage;
  readonly accounts: Map<string, Account>;
};

/** The quotas that this host owns; needs no network and no clock. */
export class QuotaLedger {
  readonly #source: QuotaLedgerSource;
  readonly #shards: readonly Shard[];
  #sweptAt: Milliseconds = 0;

  constructor(source: QuotaLedgerSource) {
    this.#source = source;
    this.#shards = Array.from({ length: SHARD_COUNT }, () => ({
      coverage: new Coverage(),
      accounts: new Map(),
    }));
  }

  /** Customers of whom something is kept. */
  get size(): number {
    return this.#shards.reduce((sum, one) => sum + one.accounts.size, 0);
  }

  /** A host takes the quotas of just these shards from this one. */
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

  /** A host is out of touch. */
  lose(host: HostId, now: Milliseconds): void {
    this.setMember(host, { shards: [], upMs: 0, usage: [] }, now);
  }

  /** Takes units of a customer's quota, ahead of time if the wait is short. */
  take(take: QuotaTake, now: Milliseconds): Taken {
    this.#sweep(now);
    const { customer, units, mostWaitMs } = take;
    const { log, rate } = this.#accountFor(customer, take);
    const bounds = this.#source.bounds();
    const share = this.#shareOf(this.#shardOf(customer).coverage, now);
    const limit = windowLimitOf(rate, bounds) * share;
    log.expire(now, bounds.windowMs);
    const freeAt = Math.max(
      log.roomAt(units, { limit, spanMs: bounds.windowMs, now }),
      log.roomAt(units, {
        limit: Math.max(units, limit * BURST_SHARE),
        spanMs: bounds.windowMs * BURST_SPAN,
        now,
      }),
    );
    const afterMs: Milliseconds = freeAt - now;
    if (afterMs > mostWaitMs) {
      const known = Number.isFinite(afterMs) ? afterMs : ALONE_RETRY_MS;
      return { type: "refused", retryAfterMs: Math.max(LEAST_RETRY_MS, known) };
    }
    log.add(units, freeAt);
    return { type: "granted", afterMs };
  }

  /** Units that were taken so long ago were not used. */
  giveBack(
    given: {
      readonly customer: string;
      readonly units: number;
      readonly agoMs: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    const account = this.#shardOf(given.customer).accounts.get(given.customer);
    account?.log.remove(given.units, now - given.agoMs);
  }

  #shardOf(customer: string): Shard {
    const shard = this.#shards[shardOf(customer)];
    if (!shard) throw new RangeError(`No shard for customer "${customer}"`);
    return shard;
  }

  #shareOf(coverage: Coverage, now: Milliseconds): number {
    const { windowMs } = this.#source.bounds();
    const hosts = this.#source.knownHosts();
    return coverage.shareAt(now, { hosts, windowMs });
  }

  /** The account, with the rate of the newest configuration heard of. */
  #accountFor(
    customer: string,
    { rate, version }: Pick<QuotaTake, "rate" | "version">,
  ): Account {
    const { accounts } = this.#shardOf(customer);
    const known = accounts.get(customer);
    if (!known) {
      const account = { log: new WindowLog(), rate, version };
      accounts.set(customer, account);
      return account;
    }
    if (version > known.version) {
      known.rate = rate;
      known.version = version;
    }
    return known;
  }

  #sweep(now: Milliseconds): void {
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    const { windowMs } = this.#source.bounds();
    for (const { accounts } of this.#shards) {
      for (const [customer, { log }] of accounts) {
        log.expire(now, windowMs);
        if (log.sum <= 0) accounts.delete(customer);
      }
    }
  }
}
