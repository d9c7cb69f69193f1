/** What an owner has given out of its customers' quotas. */
import type { HostId, Milliseconds } from "../../../core/ids.ts";
import {
  capacityOf,
  firstLevelOf,
  type QuotaBounds,
  type Rate,
} from "./bounds.ts";
import { Bucket, type Taken, type Taking } from "./bucket.ts";
import { Coverage } from "./coverage.ts";
import { SHARD_COUNT, shardOf } from "./shards.ts";

/** Full buckets are dropped this often: idle customers cost no memory. */
const SWEEP_MS = 10_000;

/** Units asked for. */
export type QuotaTake = Taking & {
  readonly customer: string;
  readonly rate: Rate;
  /** The configuration that has this rate. */
  readonly version: number;
};

/** What a ledger is made from. */
export type QuotaLedgerSource = {
  readonly bounds: () => QuotaBounds;
  /** Hosts of the fleet, this one included. */
  readonly knownHosts: () => number;
};

type Account = { readonly bucket: Bucket; version: number };

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
    shards: readonly number[],
    now: Milliseconds,
  ): void {
    for (const [index, shard] of this.#shards.entries()) {
      this.#advance(shard, now);
      shard.coverage.set(host, shards.includes(index));
      this.#advance(shard, now);
      // Who owns it meanwhile gives out the whole rate.
      if (!shard.coverage.isEmpty) continue;
      shard.accounts.clear();
      shard.coverage.restart();
    }
  }

  /** Takes units of a customer's quota. */
  take(take: QuotaTake, now: Milliseconds): Taken {
    const shard = this.#shardFor(take.customer, now);
    this.#sweep(now);
    const account = this.#accountFor(shard, take);
    return account.bucket.take(take, shard.coverage);
  }

  /** Units that were taken were not used. */
  giveBack(customer: string, units: number, now: Milliseconds): void {
    const shard = this.#shardFor(customer, now);
    shard.accounts.get(customer)?.bucket.giveBack(units, shard.coverage);
  }

  #shardFor(customer: string, now: Milliseconds): Shard {
    const shard = this.#shards[shardOf(customer)];
    if (!shard) throw new RangeError(`No shard for customer "${customer}"`);
    this.#advance(shard, now);
    return shard;
  }

  #advance({ coverage }: Shard, now: Milliseconds): void {
    coverage.advance(this.#source.knownHosts(), now);
  }

  #accountFor({ accounts, coverage }: Shard, take: QuotaTake): Account {
    const { customer, rate, version } = take;
    const bounds = this.#source.bounds();
    const capacity = capacityOf(rate, bounds);
    const known = accounts.get(customer);
    if (!known) {
      const firstLevel = firstLevelOf(bounds) * coverage.share;
      const bucket = new Bucket({ rate, capacity, firstLevel }, coverage);
      const account = { bucket, version };
      accounts.set(customer, account);
      return account;
    }
    if (version > known.version) {
      known.bucket.change(rate, capacity, coverage);
      known.version = version;
    }
    return known;
  }

  #sweep(now: Milliseconds): void {
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    for (const shard of this.#shards) {
      this.#advance(shard, now);
      const { coverage, accounts } = shard;
      for (const [customer, { bucket }] of accounts) {
        if (bucket.isFull(coverage)) accounts.delete(customer);
      }
    }
  }
}
