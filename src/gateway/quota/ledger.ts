/**
 * Records what an owner has granted from its accounts, and decides on requests.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Allowance, AllowanceRule, Rate } from "./bounds.ts";
import { Coverage } from "./coverage.ts";
import type { QuotaMembership, QuotaUsage } from "./messages.ts";
import { type ClaimedPlace, ReturnPlaces } from "./return_places.ts";
import {
  type HoldCause,
  needOf,
  type OrderRules,
  prioritizedUnits,
  RequestOrder,
  type Requirement,
  unorderedRequirement,
} from "./request_order.ts";
import { SHARD_COUNT, shardOf } from "./shards.ts";
import { waitFor } from "./window_wait.ts";
import { WindowLog } from "./window_log.ts";

/** Interval at which idle accounts are removed. */
const SWEEP_INTERVAL_MS = 10_000;
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
  /** Among the account's requests; 0, the default, is the most urgent. */
  readonly priority?: number;
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
  | {
    readonly type: "granted";
    readonly afterMs: Milliseconds;
    readonly isProvisional?: boolean;
  }
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
  /** Which requests go first; absent: those that arrive first. */
  readonly order?: () => OrderRules;
  /** Called for each request that is refused for the sake of others. */
  readonly noteHold?: (hold: QuotaHold) => void;
};

/** A refusal of a request for which there were enough units. */
export type QuotaHold = {
  readonly customer: string;
  readonly units: number;
  readonly priority: number;
  readonly cause: HoldCause;
};

type Account = {
  readonly log: WindowLog;
  /** The part of `log` that other owners granted, not provisionally. */
  readonly reported: WindowLog;
  readonly places: ReturnPlaces;
  /** Absent while requests are granted as they arrive. */
  order?: RequestOrder;
  rate: Rate;
  version: number;
  /** Window of the last allowance. */
  windowMs: Milliseconds;
};

type Shard = {
  readonly coverage: Coverage;
  readonly accounts: Map<string, Account>;
};

type RefusedRequest = {
  readonly request: QuotaRequest;
  readonly account: Account;
  readonly allowance: Allowance;
  readonly required: Requirement;
  readonly place: ClaimedPlace | undefined;
  readonly setAside: number;
  /** Time until its own units are available; Infinity if never. */
  readonly aloneMs: Milliseconds;
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
    this.noteUsage(usage, now);
  }

  /** Records what hosts acquired from other owners. */
  noteUsage(usage: readonly QuotaUsage[], now: Milliseconds): void {
    for (const used of usage) {
      const account = this.#accountFor(used.customer, used);
      account.log.add(used.units, now - used.agoMs);
      if (!used.isProvisional) {
        account.reported.add(used.units, now - used.agoMs);
      }
      this.#orderOf(account)
        ?.noteReported(prioritizedUnits(used), now - used.agoMs);
    }
  }

  /** Removes an unreachable host from all shards. */
  removeMember(host: HostId, now: Milliseconds): void {
    this.setMember(host, { shards: [], upMs: 0, usage: [] }, now);
  }

  /** Grants units, in advance if they are available within `mostWaitMs`. */
  acquire(request: QuotaRequest, now: Milliseconds): QuotaDecision {
    this.#sweep(now);
    const { customer, mostWaitMs, retry } = request;
    const ordered = prioritizedUnits(request);
    const { units } = ordered;
    const account = this.#accountFor(customer, request);
    const { log, rate, places } = account;
    const allowance = this.#allowanceOf({ name: customer, rate }, account, now);
    account.windowMs = allowance.windowMs;
    log.expire(now, allowance.windowMs);
    const order = this.#orderOf(account);
    const state = { log, allowance };
    const required = order?.ask(ordered, state, now) ??
      unorderedRequirement(units);
    const place = retry && places.claim(retry.key, now);
    const setAside = place ? 0 : places.unitsAt(now);
    const afterMs = waitFor(
      log,
      needOf({ units, required, setAside, place }),
      allowance,
      now,
    );
    if (afterMs <= mostWaitMs) {
      log.add(units, now + afterMs);
      order?.noteGranted(ordered, now + afterMs);
      const { isProvisional = false } = allowance;
      const granted = { type: "granted", afterMs } as const;
      return isProvisional ? { ...granted, isProvisional } : granted;
    }
    const aloneMs = order || setAside > 0
      ? waitFor(log, { units }, allowance, now)
      : afterMs;
    const decided = { required, place, setAside, aloneMs };
    const refused = { request, account, allowance, ...decided };
    this.#noteHold(refused, now);
    const retryAfterMs = this.#retryAfterMs(refused, now);
    order?.noteRefused(ordered, { allowance, retryAfterMs }, now);
    return { type: "refused", retryAfterMs };
  }

  /** Tells the listener if there were enough units for the request itself. */
  #noteHold(refused: RefusedRequest, now: Milliseconds): void {
    const { request, account, allowance, required, setAside } = refused;
    const { noteHold } = this.#options;
    if (!noteHold || !account.order) return;
    const units = request.units + setAside;
    const afterMs = waitFor(account.log, { units }, allowance, now);
    if (afterMs > request.mostWaitMs) return;
    const { customer } = request;
    const cause = required.causeIn(allowance.windowMs);
    noteHold({ customer, ...prioritizedUnits(request), cause });
  }

  #retryAfterMs(refused: RefusedRequest, now: Milliseconds): Milliseconds {
    const { request, account, allowance, required, place, aloneMs } = refused;
    if (!Number.isFinite(aloneMs)) return OWNER_CHANGE_RETRY_MS;
    const { units, retry } = request;
    const { log, places, order } = account;
    const waitMsFor = (needed: number) =>
      waitFor(
        log,
        {
          units: Math.max(needed / required.share, required.roomUnits),
          keptUnits: required.keptUnits,
        },
        allowance,
        now,
      );
    const { windowMs } = allowance;
    const perSecond = allowance.units * 1000 / windowMs * required.share;
    const retryAfterMs = retry
      ? places.retryAfterMs({
        key: retry.key,
        hadPlace: place !== undefined,
        units,
        waitMsFor,
        longestRetryMs: retry.longestMs,
        perSecond,
      }, now)
      : order
      ? Math.max(
        order.collectMs(prioritizedUnits(request), allowance, now),
        Math.min(waitMsFor(units), Math.max(windowMs, aloneMs)),
      )
      : aloneMs;
    return Math.max(MIN_RETRY_MS, retryAfterMs);
  }

  /** Releases units that were acquired `agoMs` ago and not used. */
  release(
    released: {
      readonly customer: string;
      readonly units: number;
      readonly agoMs: Milliseconds;
      readonly priority?: number;
    },
    now: Milliseconds,
  ): void {
    const { customer, units, agoMs } = released;
    const account = this.#shardOf(customer).accounts.get(customer);
    account?.log.remove(units, now - agoMs);
    account?.order?.release(prioritizedUnits(released), now - agoMs);
  }

  #shardOf(customer: string): Shard {
    const shard = this.#shards[shardOf(customer)];
    if (!shard) throw new RangeError(`No shard for customer "${customer}"`);
    return shard;
  }

  #allowanceOf(
    rated: { readonly name: string; readonly rate: Rate },
    { reported }: Account,
    now: Milliseconds,
  ): Allowance {
    const { coverage } = this.#shardOf(rated.name);
    const hosts = this.#options.knownHosts();
    const windowMs = this.#options.retentionMs();
    reported.expire(now, windowMs);
    return this.#options.allowance(rated, {
      share: coverage.shareAt(now, { hosts, windowMs }),
      ownedMs: coverage.ownedMs(now),
      reportedUnits: reported.sum,
    });
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
      const reported = new WindowLog();
      const account = { log, reported, places, rate, version, windowMs };
      accounts.set(customer, account);
      return account;
    }
    if (version >= known.version) {
      known.rate = rate;
      known.version = version;
    }
    return known;
  }

  /** The order of an account's requests; absent if it is switched off. */
  #orderOf(account: Account): RequestOrder | undefined {
    const rules = this.#options.order;
    const { priorities = false, largeRequests = false } = rules?.() ?? {};
    if (!rules || !(priorities || largeRequests)) {
      delete account.order;
      return undefined;
    }
    return account.order ??= new RequestOrder(rules);
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
