/** What an owner has given out of the accounts that it owns. */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { AllowanceRule, Rate } from "./bounds.ts";
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
  /** Names the account: a customer, or a replica by its incarnation. */
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
  readonly allowance: AllowanceRule;
  /**
   * What was taken longer ago is not told to a new owner; a host that has run
   * for less may have forgotten what its earlier process took.
   */
  readonly memoryMs: () => Milliseconds;
  /** Hosts of the fleet, this one included. */
  readonly knownHosts: () => number;
};

type Account = {
  readonly log: WindowLog;
  rate: Rate;
  version: number;
  /** Of the last allowance. */
  windowMs: Milliseconds;
};

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
    const account = this.#accountFor(customer, take);
    const { log, rate } = account;
    const share = this.#shareOf(this.#shardOf(customer).coverage, now);
    const named = { name: customer, rate };
    const allowance = this.#source.allowance(named, share);
    const { windowMs } = allowance;
    account.windowMs = windowMs;
    log.expire(now, windowMs);
    const freeAt = Math.max(
      log.roomAt(units, { limit: allowance.units, spanMs: windowMs, now }),
      log.roomAt(units, {
        limit: Math.max(units, allowance.units * BURST_SHARE),
        spanMs: windowMs * BURST_SPAN,
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
    const hosts = this.#source.knownHosts();
    const windowMs = this.#source.memoryMs();
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
      const windowMs = this.#source.memoryMs();
      const account = { log: new WindowLog(), rate, version, windowMs };
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
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    for (const { accounts } of this.#shards) {
      for (const [customer, { log, windowMs }] of accounts) {
        log.expire(now, windowMs);
        if (log.sum <= 0) accounts.delete(customer);
      }
    }
  }
}
