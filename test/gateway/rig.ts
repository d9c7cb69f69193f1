/**
 * Test rig: the caller-facing server of a gateway, raw replicas and a caller.
 */
import { Agent, request } from "node:http";
import {
  CallerServer,
  type CallerServerOptions,
} from "../../src/gateway/callers/server.ts";
import { systemClock } from "../../src/gateway/clock.ts";
import type { GatewayContext } from "../../src/gateway/context.ts";
import {
  type Customer,
  type ReplicaEntry,
  type ReplicaStage,
  type Route,
  type Service,
} from "../../src/gateway/mod.ts";
import type { HostEntry } from "../../src/gateway/port.ts";
import { Metrics } from "../../src/gateway/observe/metrics.ts";
import { incarnationOf } from "../../src/gateway/replicas/model.ts";
import { ReplicaTable } from "../../src/gateway/replicas/replica_table.ts";
import { PlannerClient } from "../../src/gateway/planning/planner_client.ts";
import { PlanService } from "../../src/gateway/planning/plan_service.ts";
import { singleHostGate } from "./replicas/single_host_gate.ts";
import { singleHostLimits } from "./limits/single_host_limits.ts";
import { rigCrashWatch } from "./crashes/rig_crash_watch.ts";
import { idleLoop } from "./load/idle_loop.ts";
import { LoopStalls } from "../../src/gateway/load/loop_stalls.ts";
import { ByteBudget } from "../../src/gateway/memory/byte_budget.ts";
import { RetryBudget } from "../../src/gateway/retries/retry_budget.ts";
import { RouteTable } from "../../src/gateway/routing/route_table.ts";
import { singleHostStreams } from "./streams/single_host_streams.ts";
import { singleHostPaths } from "./paths/single_host_paths.ts";
import { UpstreamPool } from "../../src/gateway/upstreams/pool.ts";
import { StartChecks } from "../../src/gateway/upstreams/start_check.ts";
import { TEST_TIMEOUT_MS, TEST_TUNING } from "./test_tuning.ts";
import { TEST_ROUTE } from "./test_route.ts";
import { neverSuspended } from "./never_suspended.ts";
import { testDialect } from "./dialect.ts";
import {
  listen,
  type RawAnswer,
  type RawReplica,
  startRawReplica,
} from "./raw_replica.ts";
import { emptyStoreEras } from "./empty_store_eras.ts";
import { LOOPBACK } from "../loopback.ts";

/** A replica of a rig. */
export type RigReplica = {
  readonly answer: RawAnswer;
  readonly stage?: ReplicaStage;
  readonly softwareVersion?: string;
  /** Its start, as in its entry. */
  readonly born?: number;
};

/** Options of {@link startRig}. */
export type RigOptions = {
  readonly route?: Partial<Route>;
  readonly engine?: Service["engine"];
  /** Connections that each replica accepts from all hosts; 100 by default. */
  readonly connectionLimit?: number;
  readonly replicas: readonly RigReplica[];
  /** Hosts through which replicas can be reached; none by default. */
  readonly peers?: readonly HostEntry[];
  readonly customers?: readonly Customer[];
  /** Age of the host's configuration; 0 by default. */
  readonly configAgeMs?: () => number;
  /** Grants every request at once by default. */
  readonly quotas?: CallerServerOptions["quotas"];
  readonly budget?: { readonly ratio: number; readonly extra: number };
  /** Replaces the record of the versions that began streams. */
  readonly streams?: Partial<GatewayContext["streams"]>;
  /** The stalls of the host; none by default. */
  readonly stalls?: LoopStalls;
  /** Replaces the time of the host's clock; its timers stay real. */
  readonly now?: () => number;
};

/** A response as the caller received it. */
export type CallResult = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** The body was received completely. */
  readonly complete: boolean;
};

/** A running rig. */
export type Rig = {
  readonly context: GatewayContext;
  readonly replicas: readonly RawReplica[];
  readonly events: { readonly name: string; readonly fields: object }[];
  readonly address: string;
  /** The server that the callers are connected to. */
  readonly callers: CallerServer;
  /** Sends a request; rejects if no response headers are received. */
  call(options?: CallOptions): Promise<CallResult>;
  /** Resolves once the replicas have received `count` requests. */
  waitForRequests(count: number): Promise<void>;
  /** Closes all connections of the caller. */
  disconnectCaller(): void;
  stop(): void;
};

/** A caller's request. */
export type CallOptions = {
  readonly id?: string;
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
};

/** A model engine with ample capacity. */
export const ENGINE: NonNullable<Service["engine"]> = {
  slots: 8,
  cacheTokens: 10_000,
  exportMs: TEST_TIMEOUT_MS,
  reservationMs: TEST_TIMEOUT_MS,
  tokensPerEvent: 1,
  switchMs: TEST_TIMEOUT_MS,
};

const UNLIMITED_QUOTAS: CallerServerOptions["quotas"] = {
  acquire: () =>
    Promise.resolve({
      type: "granted",
      afterMs: 0,
      release: () => undefined,
    }),
};

/** Starts raw replicas and a caller-facing server for them. */
export async function startRig(options: RigOptions): Promise<Rig> {
  const replicas = await Promise.all(
    options.replicas.map((replica) => startRawReplica(replica.answer)),
  );
  const events: { name: string; fields: object }[] = [];
  const context = createTestContext(options, events);
  context.replicas.adopt({
    revision: 1,
    entries: replicas.map((replica, index) => entryOf(replica, options, index)),
  });
  const callers = new CallerServer({
    context,
    planner: new PlannerClient(context, new PlanService(context), () => []),
    admission: {
      routes: context.routes,
      configAgeMs: () => options.configAgeMs?.() ?? 0,
      maxConfigAgeMs: () => TEST_TIMEOUT_MS,
    },
    quotas: options.quotas ?? UNLIMITED_QUOTAS,
  });
  const port = await listen(callers.server);
  const agent = new Agent({ keepAlive: true });
  return {
    context,
    replicas,
    events,
    address: `${LOOPBACK}:${port}`,
    callers,
    call: (callOptions = {}) => call(port, agent, callOptions),
    waitForRequests: async (count) => {
      const receivedCount = () =>
        replicas.flatMap((replica) => replica.requests).length;
      while (receivedCount() < count) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    },
    disconnectCaller: () => agent.destroy(),
    stop: () => {
      agent.destroy();
      callers.server.closeAllConnections();
      callers.server.close();
      context.pool.close();
      for (const replica of replicas) replica.stop();
    },
  };
}

/** Runs `work` with a rig and stops the rig afterwards. */
export async function withRig(
  options: RigOptions,
  work: (rig: Rig) => Promise<void>,
): Promise<void> {
  const rig = await startRig(options);
  try {
    await work(rig);
  } finally {
    rig.stop();
  }
}

function entryOf(
  replica: RawReplica,
  options: RigOptions,
  index: number,
): ReplicaEntry {
  const { stage, softwareVersion, born } = options.replicas[index] ?? {};
  const id = `r${index}`;
  return {
    id,
    incarnation: incarnationOf(id, born),
    ...(born === undefined ? {} : { born }),
    service: "service",
    address: replica.address,
    hall: "hall",
    slots: 4,
    leaving: false,
    ...(stage === undefined ? {} : { stage }),
    coldMs: 0,
    ...(softwareVersion === undefined ? {} : { softwareVersion }),
  };
}

function createTestContext(
  options: RigOptions,
  events: { name: string; fields: object }[],
): GatewayContext {
  const routes = new RouteTable();
  const { engine, budget, connectionLimit = 100 } = options;
  routes.adopt({
    version: 1,
    routes: [{ ...TEST_ROUTE, ...options.route }],
    services: [{
      name: "service",
      connectionLimit,
      ...(engine ? { engine } : {}),
    }],
    ...(options.customers ? { customers: options.customers } : {}),
    limits: {
      bodyBytes: 1 << 20,
      headerMs: TEST_TIMEOUT_MS,
      idleMs: TEST_TIMEOUT_MS,
    },
  });
  const rule = { windowMs: TEST_TIMEOUT_MS, ratio: 0, extra: 10 };
  const log = {
    note: (name: string, fields?: object) =>
      void events.push({ name, fields: fields ?? {} }),
  };
  const metrics = new Metrics();
  const replicas = new ReplicaTable();
  const clock = { ...systemClock, now: options.now ?? systemClock.now };
  const paths = singleHostPaths(clock, options.peers);
  const limits = singleHostLimits({
    clock,
    events: log,
    metrics,
    replicaOf: (incarnation) => replicas.get(incarnation),
  });
  const recorded = { clock, events: log, metrics, replicas };
  const pool = new UpstreamPool(clock, paths);
  const gates = singleHostGate({ clock, events: log, replicas, limits });
  const dialect = testDialect;
  const starts = new StartChecks({ ...recorded, ...gates, pool, dialect });
  const stalls = options.stalls ?? new LoopStalls(clock);
  const asked = { ...recorded, paths, pool, dialect, routes, starts, stalls };
  return {
    self: { id: "host", hall: "hall", run: "1" },
    clock,
    suspensions: neverSuspended(),
    eras: emptyStoreEras(),
    random: () => 0,
    dialect,
    routes,
    replicas,
    heldBytes: new ByteBudget(Infinity),
    iterations: idleLoop(),
    retryBudget: new RetryBudget({ ...rule, ...budget }, -TEST_TIMEOUT_MS),
    pool,
    starts,
    stalls,
    paths,
    crashes: rigCrashWatch(asked),
    limits,
    ...gates,
    streams: Object.assign(singleHostStreams(recorded), options.streams),
    events: log,
    metrics,
    tuning: TEST_TUNING,
    hostCount: () => 1,
    stop: { graceMs: TEST_TIMEOUT_MS },
  };
}

function call(
  port: number,
  agent: Agent,
  options: CallOptions,
): Promise<CallResult> {
  const { id = "1", path = "/a/b", method = "GET", body = "" } = options;
  return new Promise((resolve, reject) => {
    const clientRequest = request({
      host: LOOPBACK,
      port,
      path,
      method,
      agent,
      headers: { host: "example", "x-id": id, ...options.headers },
    });
    clientRequest.on("error", reject);
    clientRequest.on("response", (response) => {
      let text = "";
      response.on("error", () => undefined);
      response.on("data", (bytes: Buffer) => text += bytes.toString());
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: text,
          complete: response.complete,
        }));
    });
    clientRequest.end(body === "" ? undefined : body);
  });
}
