/** A fleet of hosts that send to a replica with a limit, in virtual time. */
import type { LimitHeader } from "../../../src/gateway/mod.ts";
import { Replica } from "../../../src/gateway/replicas/replica.ts";
import {
  LIMIT_WINDOW_MS,
  maxAllowed,
  maxWithin,
} from "../../platform/rate_windows.ts";
import { replicaEntry } from "../replica_entry.ts";
import { type FleetHost, StateFleet } from "../state/state_fleet.ts";

/** Time from a send until the replica makes the response's headers. */
const RESPONSE_MS = 30;
const NETWORK_MS = 1;
/** Share of responses that are delayed, as by a retransmission. */
const LATE_SHARE = 0.1;
const MAX_LATE_MS = 400;
/** Interval at which hosts maintain their links to owners. */
const LINK_INTERVAL_MS = 1000;
/** Time after which a new limit must be kept. */
const SETTLE_MS = 3000;

const ENTRY = replicaEntry("r");

/** The limit that the replica names at a time; undefined for none. */
export type LimitAt = (time: number) => number | undefined;

/** A request received by the replica. */
export type Arrival = { readonly at: number; readonly host: string };

/** A fleet that sends to one replica. */
export class LimitFleet {
  readonly fleet: StateFleet;
  readonly arrivals: Arrival[] = [];
  readonly refusals: { readonly at: number; readonly retryAfterMs: number }[] =
    [];
  readonly #limitAt: LimitAt;
  readonly #random: () => number;
  readonly #replicas = new Map<FleetHost, Replica>();

  constructor(size: number, seed: number, limitAt: LimitAt) {
    this.fleet = new StateFleet(size, seed);
    this.#limitAt = limitAt;
    let state = seed + 1;
    this.#random = () => {
      state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
      return state / 2 ** 32;
    };
    this.fleet.store.putReplica(ENTRY);
    for (const host of this.fleet.hosts) this.#maintainLinks(host);
  }

  /** All hosts together send at an average rate, until a time. */
  load(perSecond: number, until: number): void {
    for (const host of this.fleet.hosts) {
      this.loadAt(host, perSecond / this.fleet.hosts.length, until);
    }
  }

  /** One host sends at an average rate, until a time. */
  loadAt(host: FleetHost, perSecond: number, until: number): void {
    const { clock } = host.context;
    const next = () => {
      const waitMs = -Math.log(1 - this.#random()) * 1000 / perSecond;
      clock.after(waitMs, () => {
        if (this.fleet.now >= until) return;
        void this.#send(host);
        next();
      });
    };
    next();
  }

  /** Runs a callback at a time. */
  at(time: number, run: () => void): void {
    this.fleet.at(time, run);
  }

  /** Adds a host that has just started. */
  add(): FleetHost {
    const host = this.fleet.add();
    this.#maintainLinks(host);
    return host;
  }

  /** Number of requests that the replica received in a time range. */
  countIn(from: number, to: number): number {
    return this.arrivals.filter(({ at }) => at >= from && at < to).length;
  }

  /**
   * Describes spans with more requests than allowed, of those that end 3 s or
   * more after the limit was first named. The highest limit within the span and
   * the 3 s before it applies.
   */
  violations(namedAt: number): string[] {
    const violations: string[] = [];
    for (const { at } of this.arrivals) {
      if (at < namedAt + SETTLE_MS) continue;
      const rates = this.#ratesIn(at - LIMIT_WINDOW_MS - SETTLE_MS, at);
      if (rates.includes(undefined)) continue;
      const highest = Math.max(...rates.map((rate) => rate ?? 0));
      const count = this.countIn(at - LIMIT_WINDOW_MS, at + 0.001);
      if (count <= maxAllowed(highest)) continue;
      violations.push(
        `${count} requests, allowed ${maxAllowed(highest)}, at ${
          Math.round(at)
        } ms`,
      );
    }
    return violations;
  }

  /** The highest number of requests within any span of a time range. */
  maxRequestsWithin(spanMs: number, from: number, to: number): number {
    const times = this.arrivals.map((arrival) => arrival.at)
      .filter((at) => at >= from && at < to);
    return maxWithin(times, spanMs);
  }

  #ratesIn(from: number, to: number): (number | undefined)[] {
    const rates: (number | undefined)[] = [];
    for (let at = from; at <= to; at += 50) rates.push(this.#limitAt(at));
    return rates;
  }

  #maintainLinks(host: FleetHost): void {
    host.context.clock.after(LINK_INTERVAL_MS, () => {
      host.context.limits.maintainLinks();
      this.#maintainLinks(host);
    });
  }

  #replicaOf(host: FleetHost): Replica {
    const listed = host.context.replicas.get(ENTRY.incarnation);
    const replica = listed ?? this.#replicas.get(host) ?? new Replica(ENTRY);
    this.#replicas.set(host, replica);
    return replica;
  }

  async #send(host: FleetHost): Promise<void> {
    const { limits, clock } = host.context;
    const replica = this.#replicaOf(host);
    const { incarnation } = replica.entry;
    const outcome = await limits.permit(replica);
    if (outcome.type === "refused") {
      const { retryAfterMs } = outcome;
      this.refusals.push({ at: this.fleet.now, retryAfterMs });
      return;
    }
    outcome.permit.use();
    const sentAt = clock.now();
    this.arrivals.push({ at: this.fleet.now, host: host.entry.id });
    this.fleet.at(this.fleet.now + RESPONSE_MS, () => {
      const perSecond = this.#limitAt(this.fleet.now);
      const header: LimitHeader = perSecond === undefined
        ? { type: "none" }
        : { type: "limit", perSecond };
      const isLate = this.#random() < LATE_SHARE;
      const delayMs = isLate ? this.#random() * MAX_LATE_MS : NETWORK_MS;
      clock.after(delayMs, () => limits.observe(incarnation, header, sentAt));
    });
  }
}
