/**
 * Links of a large fleet to its planners, in virtual time: how many there are,
 * and which planner the hosts agree on after losses.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import type {
  Link,
  LinkEvents,
  LinkTarget,
} from "../../../src/gateway/peers/link.ts";
import { PlannerClient } from "../../../src/gateway/planning/planner_client.ts";
import type { PlanService } from "../../../src/gateway/planning/plan_service.ts";
import { rendezvous } from "../../../src/util/rendezvous.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";

const SIZE = 330;
const HALLS = 3;
const SERVICES = ["chat", "search", "score"];
const LATENCY_MS = 1.5;
const CONNECT_TIMEOUT_MS = 400;
/** Time after which an unreachable host is detected. */
const LINK_TIMEOUT_MS = 900;
/** Interval at which each host uses the planners. */
const USE_INTERVAL_MS = 100;
/** The first two hosts, one of each hall, and lost ones that are tried again. */
const MAX_LINKS_PER_SERVICE = 2 + HALLS + 3;

type OpenLink = {
  readonly from: HostEntry;
  readonly to: HostEntry;
  close(): void;
};

/** Hosts that use the planners of all services. */
class PlannedFleet {
  readonly entries: readonly HostEntry[];
  readonly #clients = new Map<string, PlannerClient>();
  readonly #links = new Set<OpenLink>();
  readonly #time = new VirtualTime();
  #isCut: (from: HostEntry, to: HostEntry) => boolean = () => false;

  constructor(size: number, halls = HALLS) {
    this.entries = Array.from({ length: size }, (_, at) => ({
      id: `h${at}`,
      address: `h${at}`,
      hall: `hall-${at % halls}`,
    }));
    for (const [at, entry] of this.entries.entries()) {
      const client = this.#createClient(entry);
      this.#clients.set(entry.id, client);
      const use = () => {
        for (const service of SERVICES) client.plannerOf(service);
        this.#time.clock.after(USE_INTERVAL_MS, use);
      };
      this.#time.clock.after(at * USE_INTERVAL_MS / size, use);
    }
  }

  async run(durationMs: number): Promise<void> {
    await this.#time.runTo(this.#time.now + durationMs);
  }

  /** From now on, no messages pass between hosts for which it is true. */
  cut(isCut: (from: HostEntry, to: HostEntry) => boolean): void {
    this.#isCut = isCut;
    for (const link of this.#links) {
      if (!isCut(link.from, link.to)) continue;
      this.#time.clock.after(LINK_TIMEOUT_MS, () => link.close());
    }
  }

  /** The planners of a service by the hosts for which `isAsked` is true. */
  plannersOf(
    service: string,
    isAsked: (entry: HostEntry) => boolean = () => true,
  ): Set<string | undefined> {
    return new Set(
      this.entries.filter(isAsked).map(({ id }) =>
        this.#clients.get(id)?.plannerOf(service)
      ),
    );
  }

  /** The most links that a host has opened. */
  get mostOpened(): number {
    const counts = new Map<string, number>();
    for (const { from } of this.#links) {
      counts.set(from.id, (counts.get(from.id) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
  }

  #createClient(entry: HostEntry): PlannerClient {
    const context = {
      clock: this.#time.clock,
      self: { ...entry, run: "1" },
      events: { note: () => {} },
    } as unknown as GatewayContext;
    const localPlanner = {
      attach: () => {},
      handle: () => {},
      summaryOf: () => undefined,
    } as unknown as PlanService;
    const others = this.entries.filter((other) => other !== entry);
    return new PlannerClient(context, localPlanner, () => others, {
      open: (target, events) => this.#open(entry, target, events),
    });
  }

  #open(from: HostEntry, target: LinkTarget, events: LinkEvents): Link {
    const to = this.entries.find(({ address }) => address === target.address);
    assert.ok(to);
    const close = () => {
      if (this.#links.delete(link)) events.closed();
    };
    const link = { from, to, close };
    this.#links.add(link);
    const isCut = this.#isCut(from, to);
    this.#time.clock.after(
      isCut ? CONNECT_TIMEOUT_MS : LATENCY_MS,
      isCut ? close : () => events.ready?.(),
    );
    return { send: () => {}, close };
  }
}

/** The hosts of a service in the order in which they plan it. */
function orderOf(service: string, { entries }: PlannedFleet): string[] {
  return rendezvous(service, entries.map(({ id }) => id));
}

function assertFewLinks({ mostOpened }: PlannedFleet): void {
  const most = SERVICES.length * MAX_LINKS_PER_SERVICE;
  assert.ok(mostOpened <= most, `${mostOpened} links of one host`);
}

// Guards against links to all hosts that precede a host in the order, each of
// which costs both ends a message a second.
test("each of 330 hosts that start together opens a few links to planners", async () => {
  const fleet = new PlannedFleet(SIZE);
  await fleet.run(1000);
  assertFewLinks(fleet);
  for (const service of SERVICES) {
    const [first] = orderOf(service, fleet);
    assert.deepEqual([...fleet.plannersOf(service)], [first]);
  }
});

test("all hosts agree on the next planner when the first two are lost", async () => {
  const fleet = new PlannedFleet(SIZE);
  await fleet.run(1000);
  for (const service of SERVICES) {
    const [first, second, third] = orderOf(service, fleet);
    const isLost = ({ id }: HostEntry) => id === first || id === second;
    fleet.cut((from, to) => isLost(from) || isLost(to));
    await fleet.run(2000);
    const planners = fleet.plannersOf(service, (entry) => !isLost(entry));
    assert.deepEqual([...planners], [third]);
    assertFewLinks(fleet);
    fleet.cut(() => false);
    await fleet.run(3000);
    assert.deepEqual([...fleet.plannersOf(service)], [first]);
    assertFewLinks(fleet);
  }
});

test("both sides agree on a planner each as soon as the loss of a hall is detected", async () => {
  const fleet = new PlannedFleet(SIZE);
  await fleet.run(1000);
  const isInside = ({ hall }: HostEntry) => hall === "hall-1";
  fleet.cut((from, to) => isInside(from) !== isInside(to));
  await fleet.run(LINK_TIMEOUT_MS + 2 * USE_INTERVAL_MS);
  const byId = new Map(fleet.entries.map((entry) => [entry.id, entry]));
  for (const service of SERVICES) {
    for (const isOnSide of [isInside, (entry: HostEntry) => !isInside(entry)]) {
      const first = orderOf(service, fleet).find((id) => {
        const entry = byId.get(id);
        return entry !== undefined && isOnSide(entry);
      });
      assert.deepEqual([...fleet.plannersOf(service, isOnSide)], [first]);
    }
  }
  await fleet.run(3000);
  assertFewLinks(fleet);
});

// Guards against hosts that take a hall for unreachable since its first hosts
// are lost, and then plan for themselves.
for (const lostCount of [3, 6]) {
  test(`all hosts of a hall agree on a planner when its first ${lostCount} are lost`, async () => {
    const fleet = new PlannedFleet(12, 1);
    await fleet.run(1000);
    for (const service of SERVICES) {
      const order = orderOf(service, fleet);
      const lost = new Set(order.slice(0, lostCount));
      const isLost = ({ id }: HostEntry) => lost.has(id);
      fleet.cut((from, to) => isLost(from) || isLost(to));
      await fleet.run(4000);
      const planners = fleet.plannersOf(service, (entry) => !isLost(entry));
      assert.deepEqual([...planners], [order[lostCount]]);
      fleet.cut(() => false);
      await fleet.run(3000);
      assert.deepEqual([...fleet.plannersOf(service)], [order[0]]);
    }
  });
}
