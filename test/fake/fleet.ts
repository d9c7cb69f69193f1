/**
 * A fake fleet in virtual time: real cores, the stand-ins' models, a network
 * with cuts. The same seed and the same calls give the same run.
 */
import {
  createWorld,
  type Event,
  type Options,
  type Order,
  type Policy,
  requestId,
  step,
  type World,
} from "../../src/core/mod.ts";
import {
  createPlatform,
  type Platform,
  putHosts,
  writeRows,
} from "../../src/standins/platform/model.ts";
import { type Call, callerRequest, type Got } from "./callers.ts";
import { carryOut } from "./carry.ts";
import { type Layout, listOf } from "./layout.ts";
import { Network } from "./network.ts";
import { TimeQueue } from "./queue.ts";
import { FakeUpstream } from "./upstream.ts";
import { seedRows } from "./seed_rows.ts";

/** Time between two ticks of a host. */
const TICK_MS = 20;

/** One fake entry host. */
export type FakeHost = {
  readonly id: string;
  readonly hall: string;
  world: World;
  alive: boolean;
  frozen: boolean;
  inbox: Event[];
  /** A step is planned for the inbox. */
  planned: boolean;
  calls: number;
  incarnation: number;
};

/** What sets a fleet up. */
export type FleetSource = {
  readonly layout: Layout;
  readonly seed: number;
  readonly options?: Partial<Options>;
  readonly policy?: () => Policy;
  /** Starts without settings rows. */
  readonly bare?: boolean;
};

/** The fleet. */
export class Fleet {
  readonly queue = new TimeQueue();
  readonly network = new Network();
  readonly platform: Platform = createPlatform();
  readonly hosts = new Map<string, FakeHost>();
  readonly upstreams = new Map<string, FakeUpstream>();
  readonly got = new Map<string, Got>();
  readonly source: FleetSource;
  /** Sees every order, for measurements and checks. */
  onOrder: (host: FakeHost, order: Order) => void = () => undefined;
  /** Sees every finished prefill. */
  onPrefilled: (attempt: string, computedTokens: number) => void = () =>
    undefined;
  /** Run after every host's step. */
  onStep: (host: FakeHost) => void = () => undefined;
  now = 0;

  constructor(source: FleetSource) {
    this.source = source;
    putHosts(this.platform, listOf(source.layout));
    if (!source.bare) writeRows(this.platform, seedRows());
    for (const one of source.layout.upstreams) {
      this.upstreams.set(one.id, new FakeUpstream(this, one));
    }
    for (const one of source.layout.hosts) this.#addHost(one.id, one.hall);
  }

  #addHost(id: string, hall: string): void {
    const host: FakeHost = {
      id,
      hall,
      world: this.#newWorld(id, hall, 1),
      alive: true,
      frozen: false,
      inbox: [],
      planned: false,
      calls: 0,
      incarnation: 1,
    };
    this.hosts.set(id, host);
    const phase = this.hosts.size % TICK_MS;
    this.after(phase, () => this.#tick(host, host.incarnation));
  }

  #newWorld(id: string, hall: string, incarnation: number): World {
    const { seed, options, policy } = this.source;
    const place = [...this.hosts.keys()].indexOf(id) + 2;
    return createWorld({
      self: { id, hall, region: "region", incarnation },
      seed: seed * 1000 + place * 10 + incarnation,
      ...(options ? { options } : {}),
      ...(policy ? { policy: policy() } : {}),
    });
  }

  #tick(host: FakeHost, incarnation: number): void {
    if (!host.alive || host.incarnation !== incarnation) return;
    if (!host.frozen) this.deliver(host, { type: "tick" });
    this.after(TICK_MS, () => this.#tick(host, incarnation));
  }

  /** Does something later. */
  after(span: number, run: () => void): void {
    this.queue.push(this.now + span, run);
  }

  /** Runs until a point of virtual time. */
  runUntil(end: number): void {
    while (this.queue.nextAt <= end) {
      const item = this.queue.pop();
      if (!item) break;
      this.now = Math.max(this.now, item.at);
      item.run();
    }
    this.now = end;
  }

  /** Runs for a span of virtual time. */
  run(span: number): void {
    this.runUntil(this.now + span);
  }

  /** Gives an event to a host; a frozen one gets it when it thaws. */
  deliver(host: FakeHost, event: Event): void {
    if (!host.alive) return;
    host.inbox.push(event);
    if (host.frozen || host.planned) return;
    host.planned = true;
    this.after(0, () => this.#step(host));
  }

  #step(host: FakeHost): void {
    host.planned = false;
    if (!host.alive || host.frozen) return;
    const events = host.inbox;
    host.inbox = [];
    for (const order of step(host.world, events, this.now)) {
      this.onOrder(host, order);
      carryOut(this, host, order);
    }
    this.onStep(host);
  }

  /** The host of that name. */
  host(id: string): FakeHost {
    const host = this.hosts.get(id);
    if (!host) throw new Error(`No host named ${id}`);
    return host;
  }

  /** The upstream of that name. */
  upstream(id: string): FakeUpstream {
    const upstream = this.upstreams.get(id);
    if (!upstream) throw new Error(`No upstream named ${id}`);
    return upstream;
  }

  /** A caller sends a request. */
  call(call: Call): Got {
    const host = this.host(call.host);
    host.calls += 1;
    const owner = { host: host.id, incarnation: host.incarnation };
    const id = requestId(owner, host.calls);
    const got: Got = {
      id,
      call,
      at: this.now,
      text: "",
      tokens: 0,
      whole: false,
      gone: false,
      broken: !host.alive,
    };
    this.got.set(id, got);
    this.deliver(host, callerRequest(id, call));
    return got;
  }

  /** A caller goes away. */
  hangUp(got: Got): void {
    if (got.endedAt !== undefined) return;
    got.gone = true;
    const host = this.host(got.call.host);
    this.deliver(host, { type: "callerGone", request: got.id });
  }

  /** A host dies; what it knew is lost. */
  kill(id: string): void {
    const host = this.host(id);
    host.alive = false;
    host.frozen = false;
    host.inbox = [];
    for (const got of this.got.values()) {
      const its = got.call.host === id && got.endedAt === undefined;
      if (its) got.broken = true;
    }
  }

  /** A host starts anew. */
  start(id: string): void {
    const host = this.host(id);
    if (host.alive) this.kill(id);
    host.incarnation += 1;
    host.calls = 0;
    host.alive = true;
    host.planned = false;
    host.world = this.#newWorld(id, host.hall, host.incarnation);
    this.#tick(host, host.incarnation);
  }

  /** A host stands still, or goes on as if nothing had happened. */
  freeze(id: string, frozen: boolean): void {
    const host = this.host(id);
    host.frozen = frozen;
    if (!frozen && host.alive) this.deliver(host, { type: "tick" });
  }
}
