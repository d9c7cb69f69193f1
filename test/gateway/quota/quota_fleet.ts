/** Hosts that share quotas over links that a test can cut, in virtual time. */
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

const WAY_MS = 1.5;
/** A link that can't be made is given up after this time. */
const CONNECT_MS = 400;
/** A silent link is given up after this time by both ends. */
const SILENT_MS = 1300;
const REFRESH_MS = 1000;

export const BOUNDS: QuotaBounds = {
  windowMs: 8000,
  overshoot: 0.1,
  tolerance: 140_000,
};

type Host = {
  readonly id: string;
  owner: QuotaOwner;
  member: QuotaMember;
  /** Rises with each start; links of an earlier one are dead. */
  life: number;
  isUp: boolean;
  readonly links: Set<FakeLink>;
};

type FakeLink = {
  readonly from: Host;
  readonly to: Host;
  close(): void;
};

/** A request's units, and what became of them. */
export type Asked = {
  readonly at: number;
  readonly customer: string;
  readonly units: number;
  outcome: QuotaOutcome | undefined;
  /** When it went on. */
  wentAt: number | undefined;
};

/** Hosts that share quotas. */
export class QuotaFleet {
  readonly hosts: Host[] = [];
  readonly asked: Asked[] = [];
  readonly #time = new VirtualTime();
  readonly #entries: HostEntry[] = [];
  /** Hosts with the same number reach each other. */
  readonly #sides = new Map<string, number>();
  #cutAt = 0;

  constructor(size: number) {
    for (let at = 0; at < size; at++) {
      const id = `h${at}`;
      this.#entries.push({ id, address: id, hall: `hall-${at % 3}` });
    }
    for (const { id } of this.#entries) this.hosts.push(this.#newHost(id));
    for (const host of this.hosts) this.#start(host);
  }

  get now(): number {
    return this.#time.now;
  }

  /** Does something at a time. */
  at(time: number, run: () => void): void {
    this.#time.at(time, run);
  }

  /** Goes on to a time. */
  runTo(time: number): Promise<void> {
    return this.#time.runTo(time);
  }

  /** A request takes units at a host. */
  ask(
    at: number,
    request: {
      readonly host: number;
      readonly customer: string;
      readonly units: number;
      readonly perSecond: number;
      readonly version?: number;
      readonly mostWaitMs?: number;
    },
  ): Asked {
    const { customer, units, perSecond } = request;
    const asked: Asked = {
      at,
      customer,
      units,
      outcome: undefined,
      wentAt: undefined,
    };
    this.asked.push(asked);
    this.at(at, () => {
      const host = this.hosts[request.host % this.hosts.length];
      if (!host?.isUp) return;
      void host.member.take({
        customer,
        units,
        rate: { perSecond, burst: perSecond },
        version: request.version ?? 1,
        mostWaitMs: request.mostWaitMs ?? 225,
      }).then((outcome) => {
        asked.outcome = outcome;
        if (outcome.type !== "granted") return;
        asked.wentAt = this.#time.now + outcome.afterMs;
      });
    });
    return asked;
  }

  /** Cuts the hosts that `pick` names from the others. */
  cut(pick: (id: string, at: number) => boolean): void {
    this.#cutAt = this.#time.now;
    for (const [at, { id }] of this.#entries.entries()) {
      this.#sides.set(id, pick(id, at) ? 1 : 0);
    }
    for (const host of this.hosts) {
      for (const link of host.links) {
        if (this.#reaches(link.from, link.to)) continue;
        this.at(this.#time.now + SILENT_MS, () => {
          if (!this.#reaches(link.from, link.to)) link.close();
        });
      }
    }
  }

  heal(): void {
    this.#sides.clear();
  }

  /** The process ends, and starts again after a time. */
  kill(id: string, downMs: number): void {
    const host = this.hosts.find((one) => one.id === id);
    if (!host?.isUp) return;
    host.isUp = false;
    host.life += 1;
    for (const link of [...host.links]) link.close();
    this.at(this.#time.now + downMs, () => {
      Object.assign(host, this.#partsOf(host.id));
      host.isUp = true;
      this.#start(host);
    });
  }

  /** Most units that went on within one window. */
  mostInWindow(customer: string): number {
    const went = this.asked
      .filter((one) => one.customer === customer && one.wentAt !== undefined)
      .sort((a, b) => (a.wentAt ?? 0) - (b.wentAt ?? 0));
    let most = 0;
    let sum = 0;
    let first = 0;
    for (const one of went) {
      sum += one.units;
      while ((went[first]?.wentAt ?? 0) < (one.wentAt ?? 0) - BOUNDS.windowMs) {
        sum -= went[first]?.units ?? 0;
        first += 1;
      }
      most = Math.max(most, sum);
    }
    return most;
  }

  #newHost(id: string): Host {
    const base = { id, life: 0, isUp: true, links: new Set<FakeLink>() };
    return Object.assign(base, this.#partsOf(id));
  }

  #partsOf(id: string): Pick<Host, "owner" | "member"> {
    const { clock } = this.#time;
    const owner = new QuotaOwner({
      clock,
      run: `${id} ${this.#time.now}`,
      allowance: quotaRule(() => BOUNDS),
      memoryMs: () => BOUNDS.windowMs,
      knownHosts: () => this.#entries.length,
    });
    const others = this.#entries.filter((one) => one.id !== id);
    const member = new QuotaMember({
      self: { id, hall: `hall-${Number(id.slice(1)) % 3}` },
      clock,
      own: owner,
      hosts: () => others,
      memoryMs: () => BOUNDS.windowMs,
      path: LinkPath.quota,
      noteLost: () => undefined,
      openLink: ({ address }, events) => this.#open(id, address, events),
    });
    return { owner, member };
  }

  #start(host: Host): void {
    const { life } = host;
    const refresh = () => {
      if (host.life !== life) return;
      host.member.refresh();
      this.at(this.#time.now + REFRESH_MS, refresh);
    };
    this.at(this.#time.now, refresh);
  }

  #reaches(one: Host, other: Host): boolean {
    if (!one.isUp || !other.isUp) return false;
    return this.#sides.get(one.id) === this.#sides.get(other.id);
  }

  #open(fromId: string, toId: string, events: LinkEvents): Link {
    const from = this.#hostOf(fromId);
    const to = this.#hostOf(toId);
    let state: "opening" | "open" | "closed" = "opening";
    const { life } = to;
    const link: FakeLink = {
      from,
      to,
      close: () => {
        if (state === "closed") return;
        const wasOpen = state === "open";
        state = "closed";
        from.links.delete(link);
        to.links.delete(link);
        const lose = () => {
          if (to.isUp && to.life === life) to.owner.lose(fromId);
        };
        // Over a cut the owner hears nothing of the end.
        const isCut = this.#sides.get(fromId) !== this.#sides.get(toId);
        const silentAt = Math.max(this.#time.now, this.#cutAt + SILENT_MS);
        if (wasOpen && isCut) this.at(silentAt, lose);
        else if (wasOpen) lose();
        events.closed();
      },
    };
    from.links.add(link);
    const isThere = to.isUp;
    this.at(this.#time.now + (isThere ? 2 * WAY_MS : WAY_MS), () => {
      if (state === "closed") return;
      if (!isThere || to.life !== life) return link.close();
      if (!this.#reaches(from, to)) {
        return this.at(this.#time.now + CONNECT_MS, () => link.close());
      }
      state = "open";
      to.links.add(link);
      events.ready?.();
      const hello = { type: "hello", run: to.owner.run };
      this.at(this.#time.now, () => events.line(JSON.stringify(hello)));
    });
    return {
      close: () => link.close(),
      send: (message) => {
        this.at(this.#time.now + WAY_MS, () => {
          if (state !== "open" || !this.#reaches(from, to)) return;
          const reply = to.owner.take(fromId, message as MemberMessage);
          if (!reply) return;
          this.at(this.#time.now + WAY_MS, () => {
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
