/**
 * Simulates hosts that share quotas, with partitions and crashes, in virtual
 * time.
 */
import {
  type QuotaBounds,
  quotaRule,
} from "../../../src/gateway/quota/bounds.ts";
import {
  QuotaMember,
  type QuotaOutcome,
} from "../../../src/gateway/quota/member.ts";
import { QuotaOwner } from "../../../src/gateway/quota/owner.ts";
import type { MemberMessage } from "../../../src/gateway/quota/messages.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
} from "../../../src/gateway/peers/link.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";

const LINK_DELAY_MS = 1.5;
/** Time after which an attempt to open a link fails. */
const CONNECT_TIMEOUT_MS = 400;
/** Time after which both ends close a link on which nothing arrives. */
const LINK_TIMEOUT_MS = 1300;
const REFRESH_INTERVAL_MS = 1000;

export const BOUNDS: QuotaBounds = {
  windowMs: 8000,
  overshoot: 0.1,
  tolerance: 140_000,
};

type Host = {
  readonly id: string;
  owner: QuotaOwner;
  member: QuotaMember;
  /** Number of restarts; links to an earlier generation are closed. */
  generation: number;
  isUp: boolean;
  readonly links: Set<FakeLink>;
};

type FakeLink = {
  readonly from: Host;
  readonly to: Host;
  close(): void;
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

  constructor(size: number) {
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
    },
  ): FleetRequest {
    const { customer, units, perSecond } = options;
    const request: FleetRequest = {
      at,
      customer,
      units,
      outcome: undefined,
      startedAt: undefined,
    };
    this.requests.push(request);
    this.at(at, () => {
      const host = this.hosts[options.host % this.hosts.length];
      if (!host?.isUp) return;
      void host.member.acquire({
        customer,
        units,
        rate: { perSecond, burst: perSecond },
        version: options.version ?? 1,
        mostWaitMs: options.mostWaitMs ?? 225,
      }).then((outcome) => {
        request.outcome = outcome;
        if (outcome.type !== "granted") return;
        request.startedAt = this.#time.now + outcome.afterMs;
      });
    });
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

  /** Maximum number of units used within one window. */
  maxInWindow(customer: string): number {
    const started = this.requests
      .filter((request) =>
        request.customer === customer && request.startedAt !== undefined
      )
      .sort((a, b) => (a.startedAt ?? 0) - (b.startedAt ?? 0));
    let max = 0;
    let sum = 0;
    let first = 0;
    for (const request of started) {
      sum += request.units;
      while (
        (started[first]?.startedAt ?? 0) <
          (request.startedAt ?? 0) - BOUNDS.windowMs
      ) {
        sum -= started[first]?.units ?? 0;
        first += 1;
      }
      max = Math.max(max, sum);
    }
    return max;
  }

  #newHost(id: string): Host {
    const base = { id, generation: 0, isUp: true, links: new Set<FakeLink>() };
    return Object.assign(base, this.#partsOf(id));
  }

  #partsOf(id: string): Pick<Host, "owner" | "member"> {
    const { clock } = this.#time;
    const owner = new QuotaOwner({
      clock,
      run: `${id} ${this.#time.now}`,
      allowance: quotaRule(() => BOUNDS),
      retentionMs: () => BOUNDS.windowMs,
      knownHosts: () => this.#entries.length,
    });
    const others = this.#entries.filter((entry) => entry.id !== id);
    const member = new QuotaMember({
      self: { id, hall: `hall-${Number(id.slice(1)) % 3}` },
      clock,
      localOwner: owner,
      hosts: () => others,
      retentionMs: () => BOUNDS.windowMs,
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
      host.member.refresh();
      this.at(this.#time.now + REFRESH_INTERVAL_MS, refresh);
    };
    this.at(this.#time.now, refresh);
  }

  #reaches(from: Host, to: Host): boolean {
    if (!from.isUp || !to.isUp) return false;
    return this.#sides.get(from.id) === this.#sides.get(to.id);
  }

  #open(fromId: string, toId: string, events: LinkEvents): Link {
    const from = this.#hostOf(fromId);
    const to = this.#hostOf(toId);
    let state: "opening" | "open" | "closed" = "opening";
    const { generation } = to;
    const link: FakeLink = {
      from,
      to,
      close: () => {
        if (state === "closed") return;
        const wasOpen = state === "open";
        state = "closed";
        from.links.delete(link);
        to.links.delete(link);
        const removeMember = () => {
          if (to.isUp && to.generation === generation) {
            to.owner.removeMember(fromId);
          }
        };
        // Across a partition the owner detects the closed link by timeout only.
        const isCut = this.#sides.get(fromId) !== this.#sides.get(toId);
        const timeoutAt = Math.max(
          this.#time.now,
          this.#cutAt + LINK_TIMEOUT_MS,
        );
        if (wasOpen && isCut) this.at(timeoutAt, removeMember);
        else if (wasOpen) removeMember();
        events.closed();
      },
    };
    from.links.add(link);
    const wasUp = to.isUp;
    this.at(
      this.#time.now + (wasUp ? 2 * LINK_DELAY_MS : LINK_DELAY_MS),
      () => {
        if (state === "closed") return;
        if (!wasUp || to.generation !== generation) return link.close();
        if (!this.#reaches(from, to)) {
          return this.at(
            this.#time.now + CONNECT_TIMEOUT_MS,
            () => link.close(),
          );
        }
        state = "open";
        to.links.add(link);
        events.ready?.();
        const hello = { type: "hello", run: to.owner.run };
        this.at(this.#time.now, () => events.line(JSON.stringify(hello)));
      },
    );
    return {
      close: () => link.close(),
      send: (message) => {
        this.at(this.#time.now + LINK_DELAY_MS, () => {
          if (state !== "open" || !this.#reaches(from, to)) return;
          const reply = to.owner.handle(fromId, message as MemberMessage);
          if (!reply) return;
          this.at(this.#time.now + LINK_DELAY_MS, () => {
            if (state !== "open" || !this.#reaches(from, to)) return;
            events.line(JSON.stringify(reply));
          });
        });
      },
    };
  }

  #hostOf(id: string): Host {
    const host = this.hosts[Number(id.slice(1))];
    if (!host) throw new Error(`No host "${id}"`);
    return host;
  }
}
