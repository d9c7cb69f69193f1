/** Simulates the platform of a soak: store, replicas and configuration. */
import {
  type ReplicaRole,
  type ReplicaStandin,
  startReplica,
} from "../platform/replica_standin.ts";
import type { ReplicaWorld } from "../platform/replica_world.ts";
import { startStore, type StoreStandin } from "../platform/store_standin.ts";
import {
  ConnectionEnd,
  type CutResponse,
} from "../platform/response_standin.ts";
import { ConnectionBalance } from "./connection_balance.ts";
import { ResponseShapes } from "./response_shapes.ts";
import { type FaultProxy, startFaultProxy } from "./fault_proxy.ts";
import { ReplicaLimits } from "./replica_limits.ts";
import { configOf, EVEN_LOAD, type WorldLoad } from "./world_config.ts";

/** A replica and its fault proxy. */
export type WorldReplica = {
  readonly standin: ReplicaStandin;
  readonly proxy: FaultProxy;
  readonly hall: string;
  readonly softwareVersion: string;
  /** The number of starts under the same id. */
  readonly incarnation: number;
  /** Whether the store lists the replica as ready. */
  isReady: boolean;
};

/** Which software a new replica runs. */
export type ReplicaSoftware = { readonly softwareVersion?: string };

/** Services of the soak. */
export const SERVICES = ["plain", "engine"] as const;
/** Halls of the soak's hosts and replicas. */
export const HALLS = ["north", "south"] as const;
/** The software version of replicas for which no other one is given. */
export const FIRST_SOFTWARE_VERSION = "v1";
/** Factor on the work of the slow replicas of an uneven world. */
const UNEVEN_SLOWDOWN = 2;
/** The roles of a model engine. */
const ENGINE_ROLES: readonly ReplicaRole[] = ["prefill", "decode"];
const ROLES: readonly ReplicaRole[] = [
  "plain",
  "plain",
  "prefill",
  "prefill",
  "decode",
  "decode",
  "decode",
];
/** The downtime of a replica that restarts under the same id. */
const RESTART_DELAY_MS = 900;
/** The time after which the entry of a draining replica is removed. */
const REMOVAL_DELAY_MS = 1200;

/** The simulated platform around the gateways. */
export class World implements ReplicaWorld {
  readonly arrivals: ReplicaWorld["arrivals"] = [];
  readonly faults: ReplicaWorld["faults"] = [];
  readonly exports: ReplicaWorld["exports"] = new Map();
  readonly replicas: WorldReplica[] = [];
  /** Replicas that were listed as draining. */
  readonly drained = new Set<string>();
  readonly store: StoreStandin;
  /** Replicas whose responses did not reach hosts for some time. */
  readonly disruptedReplicas = new Set<string>();
  /** Responses that replicas cut. */
  readonly cuts: CutResponse[] = [];
  /** How replicas send their responses. */
  readonly shapes: ResponseShapes;
  /** Rate limits that replicas reported. */
  readonly limits = new ReplicaLimits();
  /** Replicas that a request crashed, in order. */
  readonly crashed: string[] = [];
  /** Where callers open new connections. */
  readonly balance = new ConnectionBalance();
  /** When they crashed. */
  readonly crashTimes: number[] = [];
  #load: WorldLoad;
  #version = 0;
  #replicaCount = 0;
  #isStopped = false;

  private constructor(store: StoreStandin, load: WorldLoad) {
    this.store = store;
    this.#load = load;
    this.shapes = new ResponseShapes(load.framing);
  }

  /** Starts the store and the replicas. */
  static async start(load: WorldLoad = EVEN_LOAD): Promise<World> {
    const world = new World(await startStore(), load);
    world.changeConfig();
    for (const [at, role] of ROLES.entries()) {
      await world.addReplica(role, HALLS[at % HALLS.length] ?? HALLS[0]);
    }
    return world;
  }

  /** The latest version of the configuration. */
  get version(): number {
    return this.#version;
  }

  /** Writes the next version of the configuration. */
  changeConfig(): void {
    this.#version += 1 + this.#version % 2;
    this.store.put("op", "config", configOf(this.#version, this.#load));
  }

  /**
   * Publishes a configuration with ample memory: whether hosts serve again is
   * checked with single requests, which an overloaded pool may refuse.
   */
  endScarcity(): void {
    if (!this.#load.isUneven) return;
    this.#load = { ...this.#load, isUneven: false };
    this.changeConfig();
  }

  /** Starts one replica of each role of an engine in each hall. */
  async addEngine(softwareVersion: string): Promise<void> {
    for (const hall of HALLS) {
      for (const role of ENGINE_ROLES) {
        await this.addReplica(role, hall, { softwareVersion });
      }
    }
  }

  /** Starts a replica and writes its entry. */
  async addReplica(
    role: ReplicaRole,
    hall: string,
    { softwareVersion = FIRST_SOFTWARE_VERSION }: ReplicaSoftware = {},
  ): Promise<void> {
    this.#replicaCount += 1;
    await this.#start(`i-${this.#replicaCount}`, {
      role,
      hall,
      softwareVersion,
      incarnation: 1,
    });
  }

  async #start(
    id: string,
    { role, hall, softwareVersion, incarnation }: {
      readonly role: ReplicaRole;
      readonly hall: string;
      readonly softwareVersion: string;
      readonly incarnation: number;
    },
  ): Promise<void> {
    let address = "";
    const standin = await startReplica({
      id,
      role,
      softwareVersion,
      born: incarnation,
      world: this,
      publicAddress: () => address,
    });
    if (this.#isStopped) return standin.crash();
    standin.shapeResponse = () => this.shapes.next(id);
    if (this.#load.isUneven && this.replicas.length % 2 === 0) {
      standin.slowdown = UNEVEN_SLOWDOWN;
    }
    const proxy = await startFaultProxy(standin.address);
    if (this.#isStopped) {
      proxy.stop();
      return standin.crash();
    }
    address = proxy.address;
    const replica = {
      standin,
      proxy,
      hall,
      softwareVersion,
      incarnation,
      isReady: true,
    };
    this.replicas.push(replica);
    this.putEntry(replica);
  }

  /** Writes a replica's entry. */
  putEntry(
    { standin, proxy, hall, softwareVersion, incarnation, isReady }:
      WorldReplica,
  ): void {
    const { id, role } = standin;
    this.store.put("servers", id, {
      Service: role === "plain" ? "plain" : "engine",
      Address: proxy.address,
      Zone: hall,
      Version: softwareVersion,
      Slots: 64,
      State: isReady ? "ready" : "draining",
      ...(role === "plain" ? {} : { Stage: role, Models: [{ Name: "m" }] }),
      ColdRemainingMs: 0,
      Sequence: 1,
      born: incarnation,
    });
  }

  /** Writes rows under the replicas' prefix that are not valid entries. */
  writeForeignRows(): void {
    const [replica] = this.readyReplicas();
    const address = replica?.proxy.address;
    const rows = [
      { x: 1 },
      [1, 2],
      { Service: "engine", State: "ready", Address: address, Slots: "64" },
      { Service: "plain", State: "resting", Address: address, Zone: "north" },
    ];
    for (const [at, row] of rows.entries()) {
      this.store.put("servers", `foreign-${at}`, row);
    }
    const valid = { Slots: 64, ColdRemainingMs: 0, Zone: "north" };
    this.store.put("servers", "no\nid", {
      ...valid,
      Service: "plain",
      State: "ready",
      Address: address,
    });
  }

  /**
   * Repeats the writes of the operator and the replicas after the store has
   * lost them.
   */
  rewriteRows(): void {
    this.store.put("op", "config", configOf(this.#version, this.#load));
    const ready = new Set(
      this.readyReplicas().map((replica) => replica.standin.id),
    );
    for (const replica of this.readyReplicas()) this.putEntry(replica);
    for (const { standin: { id } } of this.replicas) {
      if (!ready.has(id)) this.store.remove("servers", id);
    }
  }

  /**
   * Removes the entries of ready replicas, as when they expire during an
   * outage.
   */
  removeReadyEntries(): void {
    for (const { standin } of this.readyReplicas()) {
      this.store.remove("servers", standin.id);
    }
  }

  /** Replicas that the store lists as ready. */
  readyReplicas(): WorldReplica[] {
    return this.replicas.filter((replica) => replica.isReady);
  }

  /** Records a response that a replica cut. */
  onCut(cut: CutResponse): void {
    this.cuts.push(cut);
    if (cut.end === ConnectionEnd.reset) {
      this.disruptedReplicas.add(cut.replica);
    }
  }

  /** Crashes a replica and starts another one of its version. */
  async crash(replica: WorldReplica): Promise<void> {
    replica.isReady = false;
    this.limits.end(replica.standin.id);
    replica.standin.crash();
    replica.proxy.stop();
    this.store.remove("servers", replica.standin.id);
    await this.addReplica(replica.standin.role, replica.hall, replica);
  }

  /** Handles the crash of a replica by a request. */
  onCrash(id: string): void {
    const replica = this.replicas.find((candidate) =>
      candidate.standin.id === id && candidate.isReady
    );
    if (!replica) return;
    this.crashed.push(id);
    this.crashTimes.push(performance.now());
    // Alternates between a new replica and a restart under the same id.
    const restarts = this.crashed.length % 2 === 0;
    void (restarts ? this.restart(replica) : this.crash(replica));
  }

  /**
   * Crashes a replica and restarts it under the same id, at its version unless
   * another one is given.
   */
  async restart(
    replica: WorldReplica,
    { softwareVersion = replica.softwareVersion }: ReplicaSoftware = {},
  ): Promise<void> {
    const { standin: { id, role }, hall } = replica;
    const incarnation = replica.incarnation + 1;
    replica.isReady = false;
    this.limits.end(id);
    replica.standin.crash();
    replica.proxy.stop();
    await new Promise((resolve) => setTimeout(resolve, RESTART_DELAY_MS));
    if (this.#isStopped) return;
    await this.#start(id, { role, hall, softwareVersion, incarnation });
  }

  /** Starts a new replica of the same version, then drains the given one. */
  async drain(replica: WorldReplica): Promise<void> {
    replica.isReady = false;
    const { standin: { role }, hall } = replica;
    await this.addReplica(role, hall, replica);
    this.retire(replica);
  }

  /** Drains a replica as planned. */
  retire(replica: WorldReplica): void {
    replica.isReady = false;
    this.putEntry(replica);
    const { id } = replica.standin;
    this.drained.add(id);
    setTimeout(() => this.store.remove("servers", id), REMOVAL_DELAY_MS);
  }

  /**
   * Starts a new replica, then lets the given one report in its responses that
   * it is draining, while its entry is ready. The result updates the entry.
   */
  async drainByResponse(replica: WorldReplica): Promise<() => void> {
    await this.addReplica(replica.standin.role, replica.hall, replica);
    replica.standin.draining = true;
    return () => {
      // The replica may have crashed or restarted.
      if (replica.isReady) this.retire(replica);
    };
  }

  /** Requests that run at replicas. */
  runningRequests(): number {
    return this.replicas.reduce(
      (sum, replica) => sum + replica.standin.running(),
      0,
    );
  }

  stop(): void {
    this.#isStopped = true;
    for (const { standin, proxy } of this.replicas) {
      proxy.stop();
      standin.crash();
    }
    this.store.stop();
  }
}
