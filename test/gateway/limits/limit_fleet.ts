/** Hosts that send to replicas with limits, in virtual time. */
import type { LimitHeader } from "../../../src/gateway/mod.ts";
import { Replica } from "../../../src/gateway/replicas/replica.ts";
import {
  LIMIT_SPAN_MS,
  mostAllowed,
  mostWithin,
} from "../../platform/rate_windows.ts";
import { replicaEntry } from "../replica_entry.ts";
import { type FleetHost, StateFleet } from "../state/state_fleet.ts";

/** From a send to the head of its answer, as the replica makes it. */
const ANSWER_MS = 30;
const WAY_MS = 1;
/** Part of the answers that are sent again on the way, and so come late. */
const LATE_SHARE = 0.1;
const LATE_MS = 400;
/** Hosts look after their links to owners this often. */
const TICK_MS = 1000;
/** From the first word of a limit on, its bound holds. */
const CONTACT_MS = 3000;

const ENTRY = replicaEntry("r");

/** What a replica says of its limit at a time; undefined: nothing. */
export type LimitAt = (time: number) => number | undefined;

/** A request that came to the replica. */
export type Arrival = { readonly at: number; readonly host: string };

/** A fleet before one replica. */
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
    this.fleet.store.list(ENTRY);
    for (const host of this.fleet.hosts) this.#tick(host);
  }

  /** All hosts together send about so many a second, until a time. */
  load(perSecond: number, until: number): void {
    for (const host of this.fleet.hosts) {
      this.loadAt(host, perSecond / this.fleet.hosts.length, until);
    }
  }

  /** One host sends about so many a second, until a time. */
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

  /** Does something at a time. */
  at(time: number, run: () => void): void {
    this.fleet.at(time, run);
  }

  /** A host that has just started takes part. */
  add(): FleetHost {
    const host = this.fleet.add();
    this.#tick(host);
    return host;
  }

  /** Requests that came within a time. */
  countIn(from: number, to: number): number {
    return this.arrivals.filter(({ at }) => at >= from && at < to).length;
  }

  /**
   * Spans in which more came than allowed: those that end 3 s after the limit
   * was first named, or later. A rate that has changed counts as the highest of
   * the span and the 3 s before.
   */
  excess(namedAt: number): string[] {
    const found: string[] = [];
    for (const { at } of this.arrivals) {
      if (at < namedAt + CONTACT_MS) continue;
      const rates = this.#ratesIn(at - LIMIT_SPAN_MS - CONTACT_MS, at);
      if (rates.includes(undefined)) continue;
      const highest = Math.max(...rates.map((one) => one ?? 0));
      const count = this.countIn(at - LIMIT_SPAN_MS, at + 0.001);
      if (count <= mostAllowed(highest)) continue;
      found.push(`${count} of ${mostAllowed(highest)} at ${Math.round(at)}`);
    }
    return found;
  }

  /** The most requests within any span of a time. */
  mostWithin(spanMs: number, from: number, to: number): number {
    const times = this.arrivals.map((one) => one.at)
      .filter((at) => at >= from && at < to);
    return mostWithin(times, spanMs);
  }

  #ratesIn(from: number, to: number): (number | undefined)[] {
    const rates: (number | undefined)[] = [];
    for (let at = from; at <= to; at += 50) rates.push(this.#limitAt(at));
    return rates;
  }

  #tick(host: FleetHost): void {
    host.context.clock.after(TICK_MS, () => {
      host.context.limits.link();
      this.#tick(host);
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
    this.fleet.at(this.fleet.now + ANSWER_MS, () => {
      const perSecond = this.#limitAt(this.fleet.now);
      const header: LimitHeader = perSecond === undefined
        ? { type: "none" }
        : { type: "limit", perSecond };
      const isLost = this.#random() < LATE_SHARE;
      const wayMs = isLost ? this.#random() * LATE_MS : WAY_MS;
      clock.after(wayMs, () => limits.hear(incarnation, header, sentAt));
    });
  }
}
