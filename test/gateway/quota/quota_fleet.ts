/**
 * Simulates hosts that share quotas, with partitions and crashes, in virtual
 * time.
 */
import {
  type QuotaBounds,
  quotaRule,
} from "../../../src/gateway/quota/bounds.ts";
import { QuotaMember } from "../../../src/gateway/quota/member.ts";
import type { QuotaOutcome } from "../../../src/gateway/quota/member_options.ts";
import { QuotaOwner } from "../../../src/gateway/quota/owner.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
} from "../../../src/gateway/peers/link.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import type { OrderRules } from "../../../src/gateway/quota/request_order.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import {
  type FakeLink,
  type Host,
  LINK_TIMEOUT_MS,
  openFakeLink,
} from "./fleet_link.ts";
import { mostInWindow } from "./most_in_window.ts";
import { clockOf, whenRunning } from "./suspension.ts";

const REFRESH_INTERVAL_MS = 1000;

export const BOUNDS: QuotaBounds = {
  windowMs: 8000,
  overshoot: 0.1,
  tolerance: 140_000,
};

/** A request for units, and its outcome. */
export type FleetRequest = {
  readonly at: number;
  readonly customer: string;
  readonly units: number;
  outcome: QuotaOutcome | undefined;
  /** When the units could be used; undefined if none were granted. */
  startedAt: number | undefined;
};

/** The simulated hosts, and the requests made at them. */
export class QuotaFleet {
  readonly hosts: Host[] = [];
  readonly requests: FleetRequest[] = [];
  readonly #time = new VirtualTime();
  readonly #entries: HostEntry[] = [];
  /** Side of the partition by host; hosts on the same side reach each other. */
  readonly #sides = new Map<string, number>();
  #cutAt = 0;
  readonly #order: OrderRules | undefined;

  readonly #bounds: QuotaBounds;

  /** By default requests are granted in the order of arrival. */
  constructor(
    size: number,
    { order, bounds = BOUNDS }: {
      readonly order?: OrderRules;
      readonly bounds?: QuotaBounds;
    } = {},
  ) {
    this.#order = order;
    this.#bounds = bounds;
    for (let index = 0; index < size; index++) {
      const id = `h${index}`;
      this.#entries.push({ id, address: id, hall: `hall-${index % 3}` });
    }
    for (const { id } of this.#entries) this.hosts.push(this.#newHost(id));
    for (const host of this.hosts) this.#start(host);
  }

  get now(): number {
    return this.#time.now;
  }

  /** Schedules a callback. */
  at(time: number, work: () => void): void {
    this.#time.at(time, work);
  }

  /** Advances the virtual time. */
  runTo(time: number): Promise<void> {
    return this.#time.runTo(time);
  }

  /** Schedules a request for units at a host. */
  request(
    at: number,
    options: {
      readonly host: number;
      readonly customer: string;
      readonly units: number;
      readonly perSecond: number;
      readonly version?: number;
      readonly mostWaitMs?: number;
      readonly priority?: number;
    },
  ): FleetRequest {
    const { customer, units, perSecond, priority } = options;
    const request: FleetRequest = {
      at,
      customer,
      units,
      outcome: undefined,
      startedAt: undefined,
    };
    this.requests.push(request);
    const host = this.#hostOf(`h${options.host % this.hosts.length}`);
    const send = () => {
      if (!host.isUp) return;
      void host.member.acquire({
        customer,
        units,
        rate: { perSecond, burst: perSecond },
        version: options.version ?? 1,
        mostWaitMs: options.mostWaitMs ?? 225,
        ...(priority === undefined ? {} : { priority }),
      }).then((outcome) => {
        request.outcome = outcome;
        if (outcome.type !== "granted") return;
        request.startedAt = this.#time.now + outcome.afterMs;
      });
    };
    this.at(at, () => whenRunning(this.#time, host, send));
    return request;
  }

  /** Partitions the hosts that `pick` selects from the others. */
  cut(pick: (id: string, index: number) => boolean): void {
    this.#cutAt = this.#time.now;
    for (const [index, { id }] of this.#entries.entries()) {
      this.#sides.set(id, pick(id, index) ? 1 : 0);
    }
    for (const host of this.hosts) {
      for (const link of host.links) {
        if (this.#reaches(link.from, link.to)) continue;
        this.at(this.#time.now + LINK_TIMEOUT_MS, () => {
          if (!this.#reaches(link.from, link.to)) link.close();
        });
      }
    }
  }

  /** Ends the partition. */
  heal(): void {
    this.#sides.clear();
  }

  /** Kills a host's process, and restarts it after `downMs`. */
  kill(id: string, downMs: number): void {
    const host = this.hosts.find((candidate) => candidate.id === id);
    if (!host?.isUp) return;
    host.isUp = false;
    host.generation += 1;
    for (const link of [...host.links]) link.close();
    this.at(this.#time.now + downMs, () => {
      Object.assign(host, this.#partsOf(host.id));
      host.isUp = true;
      this.#start(host);
    });
  }

  /** Suspends a host: its peers close their links to it by timeout. */
  freeze(id: string, forMs: number): void {
    const host = this.#hostOf(id);
    const until = this.#time.now + forMs;
    host.frozenUntil = Math.max(host.frozenUntil, until);
    for (const link of host.links) {
      this.at(this.#time.now + LINK_TIMEOUT_MS, () => {
        if (host.frozenUntil > this.#time.now) link.close();
      });
    }
  }

  /** Maximum number of units used within one window. */
  maxInWindow(customer: string): number {
    const started = this.requests.flatMap(
      ({ customer: one, units, startedAt: at }) =>
        one === customer && at !== undefined ? [{ at, units }] : [],
    );
    return mostInWindow(started, this.#bounds.windowMs);
  }

  #newHost(id: string): Host {
    const base = {
      id,
      generation: 0,
      isUp: true,
      frozenUntil: 0,
      links: new Set<FakeLink>(),
    };
    return Object.assign(base, this.#partsOf(id));
  }

  #partsOf(id: string): Pick<Host, "owner" | "member"> {
    const clock = clockOf(this.#time, () => this.#hostOf(id));
    const order = this.#order;
    const owner = new QuotaOwner({
      clock,
      run: `${id} ${this.#time.now}`,
      keepBackup: (backup) => member.keepBackup(backup),
      allowance: quotaRule(() => this.#bounds),
      retentionMs: () => this.#bounds.windowMs,
      knownHosts: () => this.#entries.length,
      ...(order ? { order: () => order } : {}),
    });
    const others = this.#entries.filter((entry) => entry.id !== id);
    const member = new QuotaMember({
      self: { id, hall: `hall-${Number(id.slice(1)) % 3}` },
      clock,
      localOwner: owner,
      hosts: () => others,
      retentionMs: () => this.#bounds.windowMs,
      path: LinkPath.quota,
      noteLost: () => undefined,
      openLink: ({ address }, events) => this.#open(id, address, events),
    });
    return { owner, member };
  }

  #start(host: Host): void {
    const { generation } = host;
    const refresh = () => {
      if (host.generation !== generation) return;
      whenRunning(this.#time, host, () => host.member.refresh());
      this.at(this.#time.now + REFRESH_INTERVAL_MS, refresh);
    };
    this.at(this.#time.now, refresh);
  }

  #reaches(from: Host, to: Host): boolean {
    if (!from.isUp || !to.isUp) return false;
    return this.#sides.get(from.id) === this.#sides.get(to.id);
  }

  #open(fromId: string, toId: string, events: LinkEvents): Link {
    const ends = { from: this.#hostOf(fromId), to: this.#hostOf(toId) };
    return openFakeLink(ends, events, {
      time: this.#time,
      reaches: (from, to) => this.#reaches(from, to),
      isCut: () => this.#sides.get(fromId) !== this.#sides.get(toId),
      cutAt: () => this.#cutAt,
    });
  }

  #hostOf(id: string): Host {
    const host = this.hosts[Number(id.slice(1))];
    if (!host) throw new Error(`No host "${id}"`);
    return host;
  }
}
