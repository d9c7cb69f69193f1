/**
 * Hosts that spread the state of a store among themselves, in virtual time:
 * all of their own code runs, over a store and links that a test controls.
 */
import type { Clock } from "../../../src/gateway/clock.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type {
  ConfigReading,
  HostEntry,
  RouteConfig,
  Store,
} from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import { HostOrders } from "../../../src/gateway/peers/host_order.ts";
import type { Link, LinkEvents } from "../../../src/gateway/peers/link.ts";
import { answerTo } from "../../../src/gateway/peers/server.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { FleetState } from "../../../src/gateway/state/fleet_state.ts";
import { chooseReader } from "../../../src/gateway/state/reader_choice.ts";
import type { JsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { TimeQueue } from "../../fake/queue.ts";

const WAY_MS = 1.5;
const STORE_WAY_MS = 2;
const TIMES = { listMs: 700, timeoutMs: 700, watchMs: 1200 };
const HALLS = 3;

/** How the store treats a host: it answers, resets its calls, or says nothing. */
export type Treatment = "served" | "reset" | "silent";

/** One host of the fleet. */
export type FleetHost = {
  readonly entry: HostEntry;
  readonly routes: RouteTable;
  readonly directory: HostDirectory;
  readonly context: GatewayContext;
  readonly state: FleetState;
  /** When each version came into force. */
  readonly adoptedAt: Map<number, number>;
};

/** A call that waits for a change, or for its time to be over. */
type Watch = { wake(): void; fail(): void; readonly host: string };

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
  /** Calls to the store by kind. */
  readonly calls = new Map<string, number>();
  readonly #queue = new TimeQueue();
  readonly #random: () => number;
  readonly #treatments = new Map<string, Treatment>();
  readonly #watches = new Set<Watch>();
  #now = 0;
  #config: RouteConfig | undefined;
  #revision = 1;

  constructor(size: number, seed: number) {
    this.#random = randomOf(seed);
    const entries = Array.from({ length: size }, (_, at) => ({
      id: `h${at}`,
      address: `h${at}`,
      hall: `hall-${at % HALLS}`,
    }));
    this.hosts = entries.map((entry) => this.#makeHost(entry, entries));
    for (const { state } of this.hosts) {
      this.#at(this.#now + this.#random() * 100, () => state.start());
    }
  }

  get now(): number {
    return this.#now;
  }

  /** In force at the store from now on. */
  publish(config: RouteConfig): void {
    this.#revision += 1;
    this.#config = config;
    for (const watch of [...this.#watches]) watch.wake();
  }

  /** How the store treats a host from now on; held calls fail where it resets. */
  treat(id: string, treatment: Treatment): void {
    this.#treatments.set(id, treatment);
    if (treatment !== "reset") return;
    for (const watch of [...this.#watches]) if (watch.host === id) watch.fail();
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

  /** Goes on to a time. */
  async runTo(time: number): Promise<void> {
    while (this.#queue.nextAt <= time) {
      const item = this.#queue.pop();
      if (!item) break;
      this.#now = item.at;
      item.run();
      // Lets promises that were resolved take their next steps.
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#now = time;
  }

  #at(time: number, run: () => void): () => void {
    let isDue = true;
    this.#queue.push(time, () => isDue && run());
    return () => isDue = false;
  }

  #makeHost(entry: HostEntry, entries: readonly HostEntry[]): FleetHost {
    const clock: Clock = {
      now: () => this.#now,
      after: (delayMs, work) =>
        this.#at(this.#now + Math.max(0, delayMs), work),
    };
    const routes = new RouteTable();
    const adoptedAt = new Map<number, number>();
    const context = {
      self: { id: entry.id, hall: entry.hall, run: "1" },
      clock,
      random: this.#random,
      routes,
      replicas: new ReplicaTable(),
      metrics: new Metrics(),
      events: { note: () => undefined },
      pool: { forget: () => undefined },
    } as unknown as GatewayContext;
    const directory = new HostDirectory(entry, []);
    directory.learn(entries, 0);
    const state = new FleetState({
      context,
      self: entry,
      directory,
      store: this.#storeFor(entry.id),
      times: TIMES,
      openLink: ({ address }, events) => this.#open(address, events),
      createClient: (address) => this.#clientOf(address),
      onConfig: ({ version }) => adoptedAt.set(version, this.#now),
    });
    return { entry, routes, directory, context, state, adoptedAt };
  }

  #hostOf(id: string): FleetHost {
    const host = this.hosts.find((one) => one.entry.id === id);
    if (!host) throw new Error(`No host "${id}"`);
    return host;
  }

  #open(address: string, fromEvents: LinkEvents): Link {
    const to = this.#hostOf(address);
    let toEvents: LinkEvents | undefined;
    let isOpen = true;
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      this.#at(this.#now, () => fromEvents.closed());
      this.#at(this.#now + WAY_MS, () => toEvents?.closed());
    };
    const lineTo =
      (events: () => LinkEvents | undefined) => (message: object) => {
        const text = JSON.stringify(message);
        this.#at(this.#now + WAY_MS, () => isOpen && events()?.line(text));
      };
    this.#at(this.#now + WAY_MS, () => {
      to.state.server.join((events) => {
        toEvents = events;
        return { send: lineTo(() => fromEvents), close };
      });
    });
    this.#at(this.#now + 2 * WAY_MS, () => isOpen && fromEvents.ready?.());
    return { send: lineTo(() => toEvents), close };
  }

  #clientOf(address: string): JsonClient {
    return {
      close: () => undefined,
      call: ({ path }) =>
        new Promise((resolve) => {
          this.#at(this.#now + WAY_MS, () => {
            const { entry, context, directory, state } = this.#hostOf(address);
            const configAgeMs = (now: number) => state.configAgeMs(now);
            const source = { context, self: entry, directory, configAgeMs };
            const body = JSON.stringify(answerTo(source, path));
            this.#at(this.#now + WAY_MS, () => resolve({ status: 200, body }));
          });
        }),
    };
  }

  #storeFor(host: string): Store {
    const answer = <Value>(kind: string, value: () => Value) =>
      this.#answer(host, kind, value);
    const held = <Value>(
      kind: string,
      call: {
        readonly revision: number;
        readonly waitMs: number;
        readonly value: () => Value;
      },
    ) => this.#hold(host, kind, call);
    const nowMs = () => ({ nowMs: this.#now });
    return {
      readReplicas: () =>
        answer("replicas", () => ({
          revision: this.#revision,
          entries: [],
          ...nowMs(),
        })),
      watchReplicas: (since, waitMs) =>
        held("replicas", {
          revision: Infinity,
          waitMs,
          value: () => ({
            since,
            revision: Math.max(since, this.#revision),
            changed: [],
            gone: [],
            ...nowMs(),
          }),
        }),
      readConfig: () => answer("config", () => this.#reading(0)),
      watchConfig: (revision, waitMs) =>
        held("config watch", {
          revision,
          waitMs,
          value: () => this.#reading(revision),
        }),
      readRows: () => answer("rows", () => ({ rows: [], ...nowMs() })),
      writeRow: () =>
        answer("row", () => ({ type: "written", revision: 1, ...nowMs() })),
    };
  }

  #reading(since: number): ConfigReading {
    const config = this.#revision > since ? this.#config : undefined;
    return { revision: this.#revision, ...(config ? { config } : {}) };
  }

  #answer<Value>(
    host: string,
    kind: string,
    value: () => Value,
  ): Promise<Value> {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    return new Promise((resolve, reject) => {
      this.#at(this.#now + STORE_WAY_MS, () => {
        const treatment = this.#treatments.get(host) ?? "served";
        if (treatment === "silent") return;
        if (treatment === "reset") return reject(new Error("Reset"));
        const read = value();
        this.#at(this.#now + STORE_WAY_MS, () => resolve(read));
      });
    });
  }

  /** Answers when something newer than `revision` is there, or after a time. */
  #hold<Value>(
    host: string,
    kind: string,
    { revision, waitMs, value }: {
      readonly revision: number;
      readonly waitMs: number;
      readonly value: () => Value;
    },
  ): Promise<Value> {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    return new Promise((resolve, reject) => {
      let cancel = () => {};
      const settle = (end: () => void) => {
        this.#watches.delete(watch);
        cancel();
        this.#at(this.#now + STORE_WAY_MS, end);
      };
      const watch: Watch = {
        host,
        wake: () => {
          if (this.#treatments.get(host) === "silent") return;
          if (this.#revision > revision) settle(() => resolve(value()));
        },
        fail: () => settle(() => reject(new Error("Reset"))),
      };
      this.#at(this.#now + STORE_WAY_MS, () => {
        const treatment = this.#treatments.get(host) ?? "served";
        if (treatment === "reset") return watch.fail();
        this.#watches.add(watch);
        cancel = this.#at(this.#now + waitMs, () => {
          if (this.#treatments.get(host) === "silent") return;
          settle(() => resolve(value()));
        });
        watch.wake();
      });
    });
  }
}
