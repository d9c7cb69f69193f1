/**
 * A fake fleet in virtual time: real cores, the stand-ins' models and a network
 * with partitions. Runs with the same seed and the same calls are identical.
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
import { type Call, callerRequest, type CallRecord } from "./callers.ts";
import { executeOrder } from "./execute_order.ts";
import { hostListOf, type Layout } from "./layout.ts";
import { Network } from "./network.ts";
import { TimeQueue } from "./queue.ts";
import { FakeUpstream } from "./upstream.ts";
import { seedRows } from "./seed_rows.ts";

const TICK_INTERVAL_MS = 20;

/** A fake entry host. */
export type FakeHost = {
  readonly id: string;
  readonly hall: string;
  world: World;
  alive: boolean;
  isSuspended: boolean;
  inbox: Event[];
  /** A step that handles the inbox is scheduled. */
  isStepScheduled: boolean;
  callCount: number;
  incarnation: number;
};

/** Options of {@link FakeFleet}. */
export type FleetOptions = {
  readonly layout: Layout;
  readonly seed: number;
  readonly options?: Partial<Options>;
  readonly policy?: () => Policy;
  /** Starts without settings rows in the platform. */
  readonly bare?: boolean;
};

/** Hosts and upstreams that share a virtual clock and a fake network. */
export class FakeFleet {
  readonly queue = new TimeQueue();
  readonly network = new Network();
  readonly platform: Platform = createPlatform();
  readonly hosts = new Map<string, FakeHost>();
  readonly upstreams = new Map<string, FakeUpstream>();
  readonly callRecords = new Map<string, CallRecord>();
  readonly options: FleetOptions;
  /** Called with each order before it is executed. */
  onOrder: (host: FakeHost, order: Order) => void = () => undefined;
  /** Called when a prefill has finished. */
  onPrefilled: (attempt: string, computedTokens: number) => void = () =>
    undefined;
  /** Called after each step of a host. */
  onStep: (host: FakeHost) => void = () => undefined;
  now = 0;

  constructor(options: FleetOptions) {
    this.options = options;
    putHosts(this.platform, hostListOf(options.layout));
    if (!options.bare) writeRows(this.platform, seedRows());
    for (const upstream of options.layout.upstreams) {
      this.upstreams.set(upstream.id, new FakeUpstream(this, upstream));
    }
    for (const host of options.layout.hosts) this.#addHost(host.id, host.hall);
  }

  #addHost(id: string, hall: string): void {
    const host: FakeHost = {
      id,
      hall,
      world: this.#createWorld(id, hall, 1),
      alive: true,
      isSuspended: false,
      inbox: [],
      isStepScheduled: false,
      callCount: 0,
      incarnation: 1,
    };
    this.hosts.set(id, host);
    const phase = this.hosts.size % TICK_INTERVAL_MS;
    this.after(phase, () => this.#tick(host, host.incarnation));
  }

  #createWorld(id: string, hall: string, incarnation: number): World {
    const { seed, options, policy } = this.options;
    const index = [...this.hosts.keys()].indexOf(id) + 2;
    return createWorld({
      self: { id, hall, region: "region", incarnation },
      seed: seed * 1000 + index * 10 + incarnation,
      ...(options ? { options } : {}),
      ...(policy ? { policy: policy() } : {}),
    });
  }

  #tick(host: FakeHost, incarnation: number): void {
    if (!host.alive || host.incarnation !== incarnation) return;
    if (!host.isSuspended) this.deliver(host, { type: "tick" });
    this.after(TICK_INTERVAL_MS, () => this.#tick(host, incarnation));
  }

  /** Schedules `run` after `span` milliseconds. */
  after(span: number, run: () => void): void {
    this.queue.push(this.now + span, run);
  }

  /** Runs until the virtual time `end`. */
  runUntil(end: number): void {
    while (this.queue.nextAt <= end) {
      const item = this.queue.pop();
      if (!item) break;
      this.now = Math.max(this.now, item.at);
      item.run();
    }
    this.now = end;
  }

  /** Runs for `span` milliseconds of virtual time. */
  run(span: number): void {
    this.runUntil(this.now + span);
  }

  /**
   * Delivers an event to a host; a suspended host handles it when it resumes.
   */
  deliver(host: FakeHost, event: Event): void {
    if (!host.alive) return;
    host.inbox.push(event);
    if (host.isSuspended || host.isStepScheduled) return;
    host.isStepScheduled = true;
    this.after(0, () => this.#step(host));
  }

  #step(host: FakeHost): void {
    host.isStepScheduled = false;
    if (!host.alive || host.isSuspended) return;
    const events = host.inbox;
    host.inbox = [];
    for (const order of step(host.world, events, this.now)) {
      this.onOrder(host, order);
      executeOrder(this, host, order);
    }
    this.onStep(host);
  }

  /** Returns the host with the id. */
  host(id: string): FakeHost {
    const host = this.hosts.get(id);
    if (!host) throw new Error(`No host named ${id}`);
    return host;
  }

  /** Returns the upstream with the id. */
  upstream(id: string): FakeUpstream {
    const upstream = this.upstreams.get(id);
    if (!upstream) throw new Error(`No upstream named ${id}`);
    return upstream;
  }

  /** Sends a request of a caller to a host. */
  call(call: Call): CallRecord {
    const host = this.host(call.host);
    host.callCount += 1;
    const owner = { host: host.id, incarnation: host.incarnation };
    const id = requestId(owner, host.callCount);
    const record: CallRecord = {
      id,
      call,
      sentAt: this.now,
      text: "",
      tokens: 0,
      isComplete: false,
      isCancelled: false,
      isInterrupted: !host.alive,
    };
    this.callRecords.set(id, record);
    this.deliver(host, callerRequest(id, call));
    return record;
  }

  /** Disconnects a caller before its response ends. */
  cancelCall(record: CallRecord): void {
    if (record.endedAt !== undefined) return;
    record.isCancelled = true;
    const host = this.host(record.call.host);
    this.deliver(host, { type: "callerGone", request: record.id });
  }

  /** Kills a host, which loses its state. */
  kill(id: string): void {
    const host = this.host(id);
    host.alive = false;
    host.isSuspended = false;
    host.inbox = [];
    for (const record of this.callRecords.values()) {
      const isPending = record.call.host === id && record.endedAt === undefined;
      if (isPending) record.isInterrupted = true;
    }
  }

  /** Starts a host with empty state, after killing it if it is alive. */
  start(id: string): void {
    const host = this.host(id);
    if (host.alive) this.kill(id);
    host.incarnation += 1;
    host.callCount = 0;
    host.alive = true;
    host.isStepScheduled = false;
    host.world = this.#createWorld(id, host.hall, host.incarnation);
    this.#tick(host, host.incarnation);
  }

  /** Suspends a host, or resumes it with its state unchanged. */
  setSuspended(id: string, isSuspended: boolean): void {
    const host = this.host(id);
    host.isSuspended = isSuspended;
    if (!isSuspended && host.alive) this.deliver(host, { type: "tick" });
  }
}
