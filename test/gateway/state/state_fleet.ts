/**
 * Simulates a fleet of hosts in virtual time. The hosts run the real state code
 * over a simulated store and simulated links.
 */
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import type { Clock } from "../../../src/gateway/clock.ts";
import { SuspensionWatch } from "../../../src/gateway/suspension.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
  type LinkTarget,
} from "../../../src/gateway/peers/link.ts";
import { ListingPacer } from "../../../src/gateway/peers/listing_pacer.ts";
import type { PeerCall } from "../../../src/gateway/peers/peer_connections.ts";
import { peerStateResponse } from "../../../src/gateway/peers/server.ts";
import { createReplicaState } from "../../../src/gateway/replicas/create_replica_state.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { FleetState } from "../../../src/gateway/state/fleet_state.ts";
import type { JsonAnswer } from "../../../src/gateway/upstreams/json_client.ts";
import type { ProbeResult } from "../../../src/gateway/upstreams/probe.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import {
  addressOf,
  createRandom,
  encodeLine,
  type FleetHost,
  type FleetRole,
  hostAt,
  hostOf,
  roleIn,
  type StateFleetOptions,
  type Suspension,
} from "./fleet_host.ts";
import { createFleetCrashes } from "./fleet_crashes.ts";
import { FleetStore } from "./fleet_store.ts";
import { FleetTraffic } from "./fleet_traffic.ts";
import { untilAborted } from "./until_aborted.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";
import { singleHostStreams } from "../streams/single_host_streams.ts";

export type { FleetHost };

const LINK_LATENCY_MS = 1.5;
const TIMES = { listMs: 700, timeoutMs: 700, watchMs: 1200 };
/** Time until the links between partitioned hosts close. */
const LINK_TIMEOUT_MS = 1000;
const HALLS = 3;
/** Hosts in the settings of each host. */
const SEEDS = 3;

type OpenLink = {
  readonly from: string;
  readonly to: string;
  close(): void;
};

/** Hosts in three halls, all of which know each other. */
export class StateFleet {
  readonly hosts: FleetHost[];
  readonly store: FleetStore;
  /** What the hosts have sent to each other. */
  readonly traffic = new FleetTraffic();
  /** Result of probing any replica. */
  probe: () => Promise<ProbeResult> = () => Promise.resolve("refused");
  /** Whether a host sends no digests, as one of an earlier version. */
  sendsNoDigests: (host: string) => boolean = () => false;
  #isCut: (from: FleetHost, to: FleetHost) => boolean = () => false;
  readonly #openLinks = new Set<OpenLink>();
  readonly #time = new VirtualTime();
  readonly #random: () => number;
  readonly #knowsAll: boolean;

  constructor(
    size: number,
    seed: number,
    { reportsEra = true, limits, knowsAll = true }: StateFleetOptions = {},
  ) {
    this.#knowsAll = knowsAll;
    this.#random = createRandom(seed);
    this.store = new FleetStore(this.#time.clock, reportsEra, limits);
    const entries = Array.from({ length: size }, (_, at) => ({
      id: `h${at}`,
      address: addressOf(at),
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

  /** The role of a host. */
  roleOf({ entry }: FleetHost): FleetRole {
    return roleIn(this.hosts.map((host) => host.entry), entry);
  }

  /** Starts another host, which knows all others. */
  add(): FleetHost {
    const { entry } = this.hosts[this.hosts.length - 1] as FleetHost;
    const id = `${entry.id}-next`;
    const added = { ...entry, id, address: addressOf(this.hosts.length) };
    const host = this.#makeHost(added, this.hosts.map((host) => host.entry));
    this.hosts.push(host);
    host.state.start();
    return host;
  }

  /**
   * From now on, drops everything between hosts for which `isCut` returns true.
   */
  partition(isCut: (from: FleetHost, to: FleetHost) => boolean): void {
    this.#isCut = isCut;
    for (const link of [...this.#openLinks]) {
      if (!this.#isCutBetween(link.from, link.to)) continue;
      this.#time.clock.after(LINK_TIMEOUT_MS, () => link.close());
    }
  }

  /**
   * Suspends a host's machine: its steady clock and timers stop, and messages
   * to it are delivered when it resumes.
   */
  suspend({ suspension }: FleetHost, forMs: number): void {
    suspension.until = this.now + forMs;
    suspension.totalMs += forMs;
  }

  /** The clock of a host; its timers don't fire while the host is suspended. */
  #clockOf(suspension: Suspension): Clock {
    const { clock } = this.#time;
    return {
      now: () => clock.now() - suspension.totalMs,
      after: (delayMs, work) => {
        let cancel = () => {};
        const fire = () => {
          const leftMs = suspension.until - clock.now();
          if (leftMs > 0) cancel = clock.after(leftMs, fire);
          else work();
        };
        cancel = clock.after(delayMs, fire);
        return () => cancel();
      },
    };
  }

  #isCutBetween(from: string, to: string): boolean {
    return this.#isCut(hostOf(this.hosts, from), hostOf(this.hosts, to));
  }

  /** Schedules `run` at a time. */
  at(time: number, run: () => void): void {
    this.#time.at(time, run);
  }

  /** Advances the virtual time. */
  runTo(time: number): Promise<void> {
    return this.#time.runTo(time);
  }

  #makeHost(entry: HostEntry, entries: readonly HostEntry[]): FleetHost {
    const suspension = { until: 0, totalMs: 0 };
    const clock = this.#clockOf(suspension);
    const suspensions = new SuspensionWatch({
      monotonicNow: clock.now,
      wallClockNow: () => this.#time.now,
    });
    const routes = new RouteTable();
    const adoptedAt = new Map<number, number>();
    const events = { note: () => undefined };
    const metrics = new Metrics();
    const self = { id: entry.id, hall: entry.hall, run: `run of ${entry.id}` };
    const seeds = this.#knowsAll ? [] : entries.slice(0, SEEDS);
    const directory = new HostDirectory(
      entry,
      seeds.map(({ address }) => address),
    );
    if (this.#knowsAll) directory.add(entries, 0);
    const openLink = (target: LinkTarget, linkEvents: LinkEvents) =>
      this.#openLink(entry.id, target, linkEvents);
    const replicaState = createReplicaState({
      self,
      clock,
      random: this.#random,
      events,
      metrics,
      directory,
      openLink,
    });
    const crashes = createFleetCrashes({
      clock,
      events,
      metrics,
      host: entry.id,
      isDraining: (entry) => replicaState.replicas.isDraining(entry),
      probe: () => this.probe(),
    });
    const context = {
      self,
      clock,
      suspensions,
      eras: emptyStoreEras(),
      random: this.#random,
      routes,
      metrics,
      events,
      crashes,
      streams: singleHostStreams({ clock, replicas: replicaState.replicas }),
      ...replicaState,
      pool: { removeReplica: () => undefined },
    } as unknown as GatewayContext;
    const state = new FleetState({
      context,
      self: entry,
      directory,
      store: this.store.of(entry.id, clock),
      times: TIMES,
      openLink,
      connections: {
        call: (address, call) => this.#callPeer(entry.id, address, call),
      },
      onConfig: ({ version }) => adoptedAt.set(version, this.#time.now),
    });
    return {
      entry,
      routes,
      directory,
      context,
      state,
      adoptedAt,
      suspension,
      listings: new ListingPacer(),
    };
  }

  #openLink(
    from: string,
    { address, path }: LinkTarget,
    fromEvents: LinkEvents,
  ): Link {
    const to = hostAt(this.hosts, address);
    const { id: toId } = to.entry;
    const isCut = () => this.#isCutBetween(from, toId);
    let toEvents: LinkEvents | undefined;
    let isOpen = true;
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      this.#openLinks.delete(link);
      this.#time.clock.after(0, () => fromEvents.closed());
      this.#time.clock.after(LINK_LATENCY_MS, () => toEvents?.closed());
    };
    const lineTo = (
      sender: string,
      host: FleetHost,
      events: () => LinkEvents | undefined,
    ) =>
    (message: object) => {
      const text = encodeLine(message, this.sendsNoDigests(sender));
      this.traffic.note({ from: sender, to: host.entry.id, text });
      // By the receiver's clock: a line to a suspended host is delayed.
      this.#clockOf(host.suspension).after(LINK_LATENCY_MS, () => {
        if (isOpen && !isCut()) events()?.line(text);
      });
    };
    const link = { from, to: toId, close };
    this.#openLinks.add(link);
    if (isCut()) {
      this.#time.clock.after(LINK_TIMEOUT_MS, close);
      return { send: () => undefined, close };
    }
    this.#time.clock.after(LINK_LATENCY_MS, () => {
      const open = (events: LinkEvents) => {
        toEvents = events;
        return {
          send: lineTo(toId, hostOf(this.hosts, from), () => fromEvents),
          close,
        };
      };
      if (path === LinkPath.limit) to.context.limits.owner.join(from, open);
      else to.state.server.join(open);
    });
    this.#time.clock.after(
      2 * LINK_LATENCY_MS,
      () => isOpen && fromEvents.ready?.(),
    );
    return { send: lineTo(from, to, () => toEvents), close };
  }

  #callPeer(
    from: string,
    address: string,
    { path, signal }: PeerCall,
  ): Promise<JsonAnswer> {
    const host = hostAt(this.hosts, address);
    const { id } = host.entry;
    const answer = new Promise<JsonAnswer>((resolve) => {
      if (this.#isCutBetween(from, id)) return;
      this.#time.clock.after(LINK_LATENCY_MS, () => {
        const { entry: self, context, directory, state, listings } = host;
        const configAgeMs = (now: number) => state.configAgeMs(now);
        const options = { context, self, directory, configAgeMs, listings };
        const body = JSON.stringify(peerStateResponse(options, path));
        this.traffic.note({ from: id, to: from, text: body });
        this.#time.clock.after(
          LINK_LATENCY_MS,
          () => resolve({ status: 200, body }),
        );
      });
    });
    return untilAborted(signal, answer);
  }
}
