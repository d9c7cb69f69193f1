/**
 * Hosts that spread the state of a store among themselves, in virtual time:
 * all of their own code runs, over a store and links that a test controls.
 */
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { CrashWatch } from "../../../src/gateway/crashes/crash_watch.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import type { Clock } from "../../../src/gateway/clock.ts";
import { SuspensionWatch } from "../../../src/gateway/suspension.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import { HostOrders } from "../../../src/gateway/peers/host_order.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
  type LinkTarget,
} from "../../../src/gateway/peers/link.ts";
import { answerTo } from "../../../src/gateway/peers/server.ts";
import { createReplicaState } from "../../../src/gateway/replicas/create_replica_state.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { FleetState } from "../../../src/gateway/state/fleet_state.ts";
import { chooseReader } from "../../../src/gateway/state/reader_choice.ts";
import type { JsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import type { ProbeResult } from "../../../src/gateway/upstreams/probe.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { FleetStore } from "./fleet_store.ts";
import { untilAborted } from "./until_aborted.ts";
import { quietEras } from "../quiet_eras.ts";

const WAY_MS = 1.5;
const TIMES = { listMs: 700, timeoutMs: 700, watchMs: 1200 };
/** A host that is cut off notices that its links are dead after this time. */
const SILENT_MS = 1000;
const HALLS = 3;
const CRASH_RULE = { most: 3, lifeMs: 60_000 };

/** One host of the fleet. */
export type FleetHost = {
  readonly entry: HostEntry;
  readonly routes: RouteTable;
  readonly directory: HostDirectory;
  readonly context: GatewayContext;
  readonly state: FleetState;
  /** When each version came into force. */
  readonly adoptedAt: Map<number, number>;
  readonly sleep: Sleep;
};

/** When a host is suspended, and for how long it was in all. */
type Sleep = { until: number; total: number };

type OpenLink = {
  readonly from: string;
  readonly to: string;
  close(): void;
};

/** A small generator, so that a seed names the whole run. */
function randomOf(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Hosts in three halls, all of whom know each other. */
export class StateFleet {
  readonly hosts: FleetHost[];
  readonly store: FleetStore;
  /** What a probe of any replica shows. */
  probe: () => Promise<ProbeResult> = () => Promise.resolve("refused");
  #isCut: (from: FleetHost, to: FleetHost) => boolean = () => false;
  readonly #open = new Set<OpenLink>();
  readonly #time = new VirtualTime();
  readonly #random: () => number;

  constructor(
    size: number,
    seed: number,
    { tellsEra = true }: { readonly tellsEra?: boolean } = {},
  ) {
    this.#random = randomOf(seed);
    this.store = new FleetStore(this.#time.clock, tellsEra);
    const entries = Array.from({ length: size }, (_, at) => ({
      id: `h${at}`,
      address: `h${at}`,
      hall: `hall-${at % HALLS}`,
    }));
    this.hosts = entries.map((entry) => this.#makeHost(entry, entries));
    for (const { state } of this.hosts) {
      this.#time.clock.after(this.#random() * 100, () => state.start());
    }
  }

  get now(): number {
    return this.#time.now;
  }

  /** Hosts by their part: the reader of all, relays of halls, and others. */
  roleOf({ entry }: FleetHost): "reader" | "relay" | "follower" {
    const entries = this.hosts.map((one) => one.entry);
    const reader = chooseReader({
      self: entry,
      hosts: entries.filter((one) => one.id !== entry.id),
      orders: new HostOrders(entry.id),
      isSuspect: () => false,
    });
    if (reader === entry.id) return "reader";
    const hall = entries.find((one) => one.id === reader)?.hall;
    return hall === entry.hall ? "follower" : "relay";
  }

  /** A host that knows all others starts now. */
  add(): FleetHost {
    const { entry } = this.hosts[this.hosts.length - 1] as FleetHost;
    const id = `${entry.id}-next`;
    const added = { ...entry, id, address: id };
    const host = this.#makeHost(added, this.hosts.map((one) => one.entry));
    this.hosts.push(host);
    host.state.start();
    return host;
  }

  /** Nothing goes between hosts that are cut from each other, from now on. */
  cut(isCut: (from: FleetHost, to: FleetHost) => boolean): void {
    this.#isCut = isCut;
    for (const link of [...this.#open]) {
      if (!this.#isCutBetween(link.from, link.to)) continue;
      this.#time.clock.after(SILENT_MS, () => link.close());
    }
  }

  /**
   * A host's machine is suspended: it does nothing, its steady clock stands
   * still, and what comes for it meanwhile is there when it wakes.
   */
  suspend({ sleep }: FleetHost, forMs: number): void {
    sleep.until = this.now + forMs;
    sleep.total += forMs;
  }

  /** The clock of a host: its timers fire when it is awake. */
  #clockOf(sleep: Sleep): Clock {
    const { clock } = this.#time;
    return {
      now: () => clock.now() - sleep.total,
      after: (delayMs, work) => {
        let cancel = () => {};
        const fire = () => {
          const leftMs = sleep.until - clock.now();
          if (leftMs > 0) cancel = clock.after(leftMs, fire);
          else work();
        };
        cancel = clock.after(delayMs, fire);
        return () => cancel();
      },
    };
  }

  #isCutBetween(from: string, to: string): boolean {
    return this.#isCut(this.#hostOf(from), this.#hostOf(to));
  }

  /** Does something at a time. */
  at(time: number, run: () => void): void {
    this.#time.at(time, run);
  }

  /** Goes on to a time. */
  runTo(time: number): Promise<void> {
    return this.#time.runTo(time);
  }

  #makeHost(entry: HostEntry, entries: readonly HostEntry[]): FleetHost {
    const sleep = { until: 0, total: 0 };
    const clock = this.#clockOf(sleep);
    const suspensions = new SuspensionWatch({
      steadyNow: clock.now,
      dayNow: () => this.#time.now,
    });
    const routes = new RouteTable();
    const adoptedAt = new Map<number, number>();
    const events = { note: () => undefined };
    const metrics = new Metrics();
    const self = { id: entry.id, hall: entry.hall, run: `run of ${entry.id}` };
    const directory = new HostDirectory(entry, []);
    directory.learn(entries, 0);
    const openLink = (target: LinkTarget, linkEvents: LinkEvents) =>
      this.#openLink(entry.id, target, linkEvents);
    const known = createReplicaState({
      self,
      clock,
      random: this.#random,
      events,
      metrics,
      directory,
      openLink,
    });
    const crashes = new CrashWatch({
      clock,
      events,
      metrics,
      rule: CRASH_RULE,
      isLeaving: (entry) => known.replicas.isLeaving(entry),
      probe: () => this.probe(),
    });
    const context = {
      self,
      clock,
      suspensions,
      eras: quietEras(),
      random: this.#random,
      routes,
      metrics,
      events,
      crashes,
      ...known,
      pool: { forget: () => undefined },
    } as unknown as GatewayContext;
    const state = new FleetState({
      context,
      self: entry,
      directory,
      store: this.store.of(entry.id, clock),
      times: TIMES,
      openLink,
      createClient: (address) => this.#clientOf(entry.id, address),
      onConfig: ({ version }) => adoptedAt.set(version, this.#time.now),
    });
    return { entry, routes, directory, context, state, adoptedAt, sleep };
  }

  #hostOf(id: string): FleetHost {
    const host = this.hosts.find((one) => one.entry.id === id);
    if (!host) throw new Error(`No host "${id}"`);
    return host;
  }

  #openLink(
    from: string,
    { address, path }: LinkTarget,
    fromEvents: LinkEvents,
  ): Link {
    const to = this.#hostOf(address);
    const isCut = () => this.#isCutBetween(from, address);
    let toEvents: LinkEvents | undefined;
    let isOpen = true;
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      this.#open.delete(link);
      this.#time.clock.after(0, () => fromEvents.closed());
      this.#time.clock.after(WAY_MS, () => toEvents?.closed());
    };
    const lineTo =
      (host: FleetHost, events: () => LinkEvents | undefined) =>
      (message: object) => {
        const text = JSON.stringify(message);
        // By the receiver's clock: a line waits for it to wake.
        this.#clockOf(host.sleep).after(WAY_MS, () => {
          if (isOpen && !isCut()) events()?.line(text);
        });
      };
    const link = { from, to: address, close };
    this.#open.add(link);
    if (isCut()) {
      this.#time.clock.after(SILENT_MS, close);
      return { send: () => undefined, close };
    }
    this.#time.clock.after(WAY_MS, () => {
      const open = (events: LinkEvents) => {
        toEvents = events;
        return { send: lineTo(this.#hostOf(from), () => fromEvents), close };
      };
      if (path === LinkPath.limit) to.context.limits.owner.join(from, open);
      else to.state.server.join(open);
    });
    this.#time.clock.after(2 * WAY_MS, () => isOpen && fromEvents.ready?.());
    return { send: lineTo(to, () => toEvents), close };
  }

  #clientOf(from: string, address: string): JsonClient {
    return {
      close: () => undefined,
      call: ({ path }, signal) =>
        untilAborted(
          signal,
          new Promise((resolve) => {
            if (this.#isCutBetween(from, address)) return;
            this.#time.clock.after(WAY_MS, () => {
              const { entry, context, directory, state } = this.#hostOf(
                address,
              );
              const configAgeMs = (now: number) => state.configAgeMs(now);
              const self = entry;
              const source = {
                context,
                self,
                directory,
                configAgeMs,
              };
              const body = JSON.stringify(answerTo(source, path));
              this.#time.clock.after(
                WAY_MS,
                () => resolve({ status: 200, body }),
              );
            });
          }),
        ),
    };
  }
}
