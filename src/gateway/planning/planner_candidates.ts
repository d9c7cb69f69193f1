/**
 * Chooses the hosts that may plan a service and to which a host keeps links: a
 * few, so that the number of links doesn't grow with the square of the fleet.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import {
  capacityWeight,
  HostOrders,
  type OrderedHost,
} from "../peers/host_order.ts";
import type { HostEntry } from "../port.ts";

/** The first hosts of the order, whatever their halls. */
const FIRST_HOSTS = 2;
/** Lost hosts of a hall that are tried again at once. */
const MAX_RETRIES_PER_HALL = 2;

/** The candidates of a service as long as nothing changes. */
type Choice = {
  /** The order that they were chosen from. */
  readonly order: readonly HostId[];
  readonly candidates: readonly HostEntry[];
  /** When a lost host is tried again. */
  readonly until: Milliseconds;
};

/** The candidates of all services. */
export class PlannerCandidates {
  readonly #self: OrderedHost;
  readonly #orders: HostOrders;
  readonly #choices = new Map<string, Choice>();
  /** When hosts whose link has closed are tried again. */
  readonly #retryAt = new Map<HostId, Milliseconds>();
  #hosts: readonly HostEntry[] = [];
  #byId = new Map<HostId, HostEntry>();

  constructor(self: OrderedHost) {
    this.#self = self;
    this.#orders = new HostOrders(self, capacityWeight);
  }

  /** Records that the link to a host has closed. */
  noteLost(host: HostId, retryAt: Milliseconds): void {
    this.#retryAt.set(host, retryAt);
    this.#choices.clear();
  }

  /** Records that the link to a host is open. */
  noteReady(host: HostId): void {
    if (this.#retryAt.delete(host)) this.#choices.clear();
  }

  /**
   * The candidates that precede this host in the service's order, best first.
   * `hosts` are all others; the same array as long as none of them changes.
   */
  of(
    service: string,
    hosts: readonly HostEntry[],
    now: Milliseconds,
  ): readonly HostEntry[] {
    if (hosts !== this.#hosts) this.#adopt(hosts);
    const order = this.#orders.of(service, hosts);
    const known = this.#choices.get(service);
    if (known?.order === order && now < known.until) return known.candidates;
    const choice = this.#choose(order, now);
    this.#choices.set(service, choice);
    return choice.candidates;
  }

  #adopt(hosts: readonly HostEntry[]): void {
    this.#hosts = hosts;
    this.#byId = new Map(hosts.map((host) => [host.id, host]));
    for (const id of this.#retryAt.keys()) {
      if (!this.#byId.has(id)) this.#retryAt.delete(id);
    }
  }

  /**
   * The first hosts, so that all hosts agree on the next planner when one is
   * lost, and the first of each hall, so that they do when halls are cut off.
   * Lost ones among them are tried again but don't count.
   */
  #choose(order: readonly HostId[], now: Milliseconds): Choice {
    const candidates: HostEntry[] = [];
    const halls = new Set<string>();
    const retriesByHall = new Map<string, number>();
    let counted = 0;
    let until = Infinity;
    for (const id of order) {
      if (id === this.#self.id) break;
      const host = this.#byId.get(id);
      if (!host) continue;
      const { hall } = host;
      if (counted >= FIRST_HOSTS && halls.has(hall)) continue;
      const retryAt = this.#retryAt.get(id);
      if (retryAt === undefined) {
        counted += 1;
        halls.add(hall);
        candidates.push(host);
        continue;
      }
      if (retryAt > now) {
        until = Math.min(until, retryAt);
        continue;
      }
      const retries = retriesByHall.get(hall) ?? 0;
      if (retries >= MAX_RETRIES_PER_HALL) continue;
      retriesByHall.set(hall, retries + 1);
      candidates.push(host);
    }
    return { order, candidates, until };
  }
}
