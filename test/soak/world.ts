/** The platform around a soak's gateways: store, replicas, configuration. */
import {
  type ReplicaRole,
  type ReplicaStandin,
  type ReplicaWorld,
  startReplica,
} from "../platform/replica_standin.ts";
import { startStore, type StoreStandin } from "../platform/store_standin.ts";
import { CallKind } from "./callers.ts";
import { type FaultProxy, startProxy } from "./fault_proxy.ts";

/** A replica and the proxy before it. */
export type WorldReplica = {
  readonly standin: ReplicaStandin;
  readonly proxy: FaultProxy;
  readonly hall: string;
  /** Counts the starts under its id. */
  readonly born: number;
  /** Listed as ready. */
  isReady: boolean;
};

/** A time in which a replica named one limit. */
export type LimitSpan = {
  readonly replica: string;
  /** As its answers said it; it may be no number. */
  readonly text: string;
  readonly fromMs: number;
  toMs: number;
};

/** Halls of the soak's hosts and replicas. */
export const HALLS = ["north", "south"] as const;
const ROLES: readonly ReplicaRole[] = [
  "plain",
  "plain",
  "prefill",
  "prefill",
  "decode",
  "decode",
  "decode",
];
/** A request is ended after this time. */
export const ROUTE_TIMEOUT_MS = 4000;
/** A replica that starts again under its id is back after this time. */
const RESTART_MS = 900;
/** A replica that leaves goes from the store after this time. */
const LEAVE_MS = 1200;

/** Everything around the gateways. */
export class World implements ReplicaWorld {
  readonly arrivals: ReplicaWorld["arrivals"] = [];
  readonly faults: ReplicaWorld["faults"] = [];
  readonly exports: ReplicaWorld["exports"] = new Map();
  readonly replicas: WorldReplica[] = [];
  /** Replicas that were told to leave. */
  readonly left = new Set<string>();
  readonly store: StoreStandin;
  /** Replicas whose answers did not reach hosts for a time. */
  readonly unheard = new Set<string>();
  /** What replicas said of the rate that they take. */
  readonly limits: LimitSpan[] = [];
  /** Replicas that a request crashed, in order. */
  readonly crashed: string[] = [];
  #version = 0;
  #count = 0;
  #isStopped = false;

  private constructor(store: StoreStandin) {
    this.store = store;
  }

  /** Starts the store and one replica of each role and hall. */
  static async start(): Promise<World> {
    const world = new World(await startStore());
    world.changeConfig();
    for (const [at, role] of ROLES.entries()) {
      await world.addReplica(role, HALLS[at % HALLS.length] ?? HALLS[0]);
    }
    return world;
  }

  /** The version that was written last. */
  get version(): number {
    return this.#version;
  }

  /** Writes the next version of the configuration. */
  changeConfig(): void {
    this.#version += 1 + this.#version % 2;
    this.store.put("op", "config", configOf(this.#version));
  }

  /** Starts a replica and lists it. */
  async addReplica(role: ReplicaRole, hall: string): Promise<void> {
    this.#count += 1;
    await this.#start(`i-${this.#count}`, { role, hall, born: 1 });
  }

  async #start(
    id: string,
    { role, hall, born }: {
      readonly role: ReplicaRole;
      readonly hall: string;
      readonly born: number;
    },
  ): Promise<void> {
    let address = "";
    const standin = await startReplica({
      id,
      role,
      world: this,
      publicAddress: () => address,
    });
    const proxy = await startProxy(standin.address);
    address = proxy.address;
    const replica = { standin, proxy, hall, born, isReady: true };
    this.replicas.push(replica);
    this.list(replica);
  }

  /** Writes a replica's entry. */
  list({ standin, proxy, hall, born, isReady }: WorldReplica): void {
    const { id, role } = standin;
    this.store.put("servers", id, {
      Service: role === "plain" ? "plain" : "engine",
      Address: proxy.address,
      Zone: hall,
      Slots: 64,
      State: isReady ? "ready" : "draining",
      ...(role === "plain" ? {} : { Stage: role }),
      ColdRemainingMs: 0,
      born,
    });
  }

  /** Another writer puts rows among those of replicas that name none. */
  writeForeignRows(): void {
    const [replica] = this.ready();
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
  }

  /** What the operator and the replicas wrote, after the store has lost it. */
  writeAgain(): void {
    this.store.put("op", "config", configOf(this.#version));
    const ready = new Set(this.ready().map((one) => one.standin.id));
    for (const one of this.ready()) this.list(one);
    for (const { standin: { id } } of this.replicas) {
      if (!ready.has(id)) this.store.remove("servers", id);
    }
  }

  /** Entries of live replicas go, as they do while a store is away. */
  lapse(): void {
    for (const { standin } of this.ready()) {
      this.store.remove("servers", standin.id);
    }
  }

  /** A replica names a limit; the result ends it, unless another came since. */
  limit({ standin }: WorldReplica, text: string): () => void {
    this.#endLimit(standin.id);
    standin.limit = text;
    const fromMs = performance.now();
    const span = { replica: standin.id, text, fromMs, toMs: Infinity };
    this.limits.push(span);
    return () => {
      if (span.toMs !== Infinity) return;
      standin.limit = undefined;
      this.#endLimit(standin.id);
    };
  }

  #endLimit(id: string): void {
    const open = this.limits.find((one) =>
      one.replica === id && one.toMs === Infinity
    );
    if (open) open.toMs = performance.now();
  }

  /** Replicas that are listed as ready. */
  ready(): WorldReplica[] {
    return this.replicas.filter((one) => one.isReady);
  }

  /** A replica crashes; another takes its stead. */
  async crash(replica: WorldReplica): Promise<void> {
    replica.isReady = false;
    this.#endLimit(replica.standin.id);
    replica.standin.crash();
    replica.proxy.stop();
    this.store.remove("servers", replica.standin.id);
    await this.addReplica(replica.standin.role, replica.hall);
  }

  /** A request has crashed its replica. */
  onCrash(id: string): void {
    const replica = this.replicas.find((one) =>
      one.standin.id === id && one.isReady
    );
    if (!replica) return;
    this.crashed.push(id);
    // By turns another replica comes in its stead, or it starts again itself.
    const isBack = this.crashed.length % 2 === 0;
    void (isBack ? this.restart(replica) : this.crash(replica));
  }

  /** A replica crashes and starts again under its id. */
  async restart(replica: WorldReplica): Promise<void> {
    const { standin: { id, role }, hall, born } = replica;
    replica.isReady = false;
    this.#endLimit(id);
    replica.standin.crash();
    replica.proxy.stop();
    await new Promise((resolve) => setTimeout(resolve, RESTART_MS));
    if (this.#isStopped) return;
    await this.#start(id, { role, hall, born: born + 1 });
  }

  /** A replica leaves as planned; another comes first. */
  async leave(replica: WorldReplica): Promise<void> {
    replica.isReady = false;
    await this.addReplica(replica.standin.role, replica.hall);
    this.list(replica);
    this.left.add(replica.standin.id);
    const { id } = replica.standin;
    setTimeout(() => this.store.remove("servers", id), LEAVE_MS);
  }

  /**
   * A replica says in its answers that it leaves, while its entry says nothing;
   * another comes first. The result goes on as with any that leaves.
   */
  async leaveByAnswer(replica: WorldReplica): Promise<() => void> {
    const { role, id } = replica.standin;
    await this.addReplica(role, replica.hall);
    replica.standin.leaving = true;
    return () => {
      // It may have crashed, or started again.
      if (!replica.isReady) return;
      replica.isReady = false;
      this.list(replica);
      this.left.add(id);
      setTimeout(() => this.store.remove("servers", id), LEAVE_MS);
    };
  }

  /** Requests that run at replicas now. */
  running(): number {
    return this.replicas.reduce((sum, one) => sum + one.standin.running(), 0);
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

function configOf(version: number): object {
  const routes = Object.values(CallKind).map((kind) => ({
    Name: kind,
    Host: "example",
    PathPrefix: `/${kind}/`,
    Kind: kind === CallKind.resumable ? CallKind.stream : kind,
    TimeoutMs: ROUTE_TIMEOUT_MS,
    TargetLatencyMs: 900,
    GapTargetMs: 300,
    Priority: 1,
    MaxAttempts: 2,
    Resumable: kind === CallKind.resumable,
    Service: isStream(kind) ? "engine" : "plain",
  })).map((route) =>
    isStream(route.Kind) ? { ...route, Kind: "streaming" } : route
  );
  const service = { HealthPath: "/health", ConnectionLimit: 200 };
  const engine = {
    Slots: 64,
    KvCacheTokens: 100_000,
    HandleRetentionS: 1.5,
    HoldMs: 2000,
    Stride: 1,
    StageSwitchS: 6,
  };
  return {
    Version: version,
    Routes: routes,
    Services: [
      { Name: "plain", ...service },
      { Name: "engine", ...service, InferenceEngine: engine },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 65_536,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

function isStream(kind: string): boolean {
  return kind === CallKind.stream || kind === CallKind.resumable;
}
