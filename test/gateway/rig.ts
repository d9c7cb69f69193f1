/** A gateway's callers' side over raw replicas, with a caller for tests. */
import { Agent, request } from "node:http";
import {
  CallerServer,
  type CallerServerSource,
} from "../../src/gateway/callers/server.ts";
import { systemClock } from "../../src/gateway/clock.ts";
import type { GatewayContext } from "../../src/gateway/context.ts";
import {
  type Customer,
  type ReplicaEntry,
  type ReplicaStage,
  type Route,
  RouteKind,
  type Service,
} from "../../src/gateway/mod.ts";
import { Metrics } from "../../src/gateway/observe/metrics.ts";
import { ReplicaTable } from "../../src/gateway/replicas/replica_table.ts";
import { Places } from "../../src/gateway/planning/places.ts";
import { PlanService } from "../../src/gateway/planning/plan_service.ts";
import { loneGate } from "./replicas/lone_gate.ts";
import { loneLimits } from "./limits/lone_limits.ts";
import { CrashWatch } from "../../src/gateway/crashes/crash_watch.ts";
import { RetryBudget } from "../../src/gateway/retries/retry_budget.ts";
import { RouteTable } from "../../src/gateway/routing/route_table.ts";
import { probeAddress } from "../../src/gateway/upstreams/probe.ts";
import { UpstreamPool } from "../../src/gateway/upstreams/pool.ts";
import { neverSuspended } from "./never_suspended.ts";
import { testDialect } from "./dialect.ts";
import {
  type RawAnswer,
  type RawReplica,
  startRawReplica,
} from "./raw_replica.ts";
import { quietEras } from "./quiet_eras.ts";

/** A long time: nothing in these tests may depend on its length. */
const AMPLE_MS = 20_000;

/** A replica of a rig. */
export type RigReplica = {
  readonly answer: RawAnswer;
  readonly stage?: ReplicaStage;
};

/** What a rig is made from. */
export type RigSource = {
  readonly route?: Partial<Route>;
  readonly engine?: Service["engine"];
  readonly replicas: readonly RigReplica[];
  readonly customers?: readonly Customer[];
  /** Age of the host's word of the configuration; 0 unless it is given. */
  readonly configAgeMs?: () => number;
  /** Grants all at once unless it is given. */
  readonly quotas?: CallerServerSource["quotas"];
  readonly budget?: { readonly ratio: number; readonly extra: number };
  /** The host's clock, where a test decides when time passes; timers are real. */
  readonly now?: () => number;
};

/** What a caller saw. */
export type Seen = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** The answer's framing came to its end. */
  readonly complete: boolean;
};

/** A running rig. */
export type Rig = {
  readonly context: GatewayContext;
  readonly replicas: readonly RawReplica[];
  readonly events: { readonly name: string; readonly fields: object }[];
  readonly address: string;
  /** Sends a request; rejects when no head comes. */
  call(options?: CallOptions): Promise<Seen>;
  /** Resolves once the replicas were sent so many requests. */
  arrived(count: number): Promise<void>;
  /** The caller closes all its connections. */
  leave(): void;
  stop(): void;
};

/** What a caller sends. */
export type CallOptions = {
  readonly id?: string;
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
};

/** An engine with room for everything. */
export const ENGINE: NonNullable<Service["engine"]> = {
  slots: 8,
  cacheTokens: 10_000,
  exportMs: AMPLE_MS,
  reservationMs: AMPLE_MS,
  tokensPerEvent: 1,
  switchMs: AMPLE_MS,
};

const ROUTE: Route = {
  name: "route",
  host: "example",
  pathPrefix: "/a/",
  kind: RouteKind.safe,
  timeoutMs: AMPLE_MS,
  objectiveMs: AMPLE_MS,
  gapMs: AMPLE_MS,
  silenceMs: AMPLE_MS,
  attempts: 2,
  priority: 1,
  targets: [{ service: "service", weight: 1 }],
  resumable: false,
  anonymous: false,
};

const FREE_QUOTAS: CallerServerSource["quotas"] = {
  take: () =>
    Promise.resolve({
      type: "granted",
      afterMs: 0,
      giveBack: () => undefined,
    }),
};

/** Starts replicas and a gateway before them. */
export async function startRig(source: RigSource): Promise<Rig> {
  const replicas = await Promise.all(
    source.replicas.map((one) => startRawReplica(one.answer)),
  );
  const events: { name: string; fields: object }[] = [];
  const context = createTestContext(source, events);
  context.replicas.adopt({
    revision: 1,
    entries: replicas.map((one, at) => entryOf(one, source, at)),
  });
  const callers = new CallerServer({
    context,
    places: new Places(context, new PlanService(context), () => []),
    admission: {
      routes: context.routes,
      configAgeMs: () => source.configAgeMs?.() ?? 0,
      maxConfigAgeMs: () => AMPLE_MS,
    },
    quotas: source.quotas ?? FREE_QUOTAS,
  });
  const port = await new Promise<number>((resolve) => {
    callers.server.listen(0, "127.0.0.1", () => {
      const bound = callers.server.address();
      resolve(typeof bound === "object" && bound ? bound.port : 0);
    });
  });
  const agent = new Agent({ keepAlive: true });
  return {
    context,
    replicas,
    events,
    address: `127.0.0.1:${port}`,
    call: (options = {}) => call(port, agent, options),
    arrived: async (count) => {
      const sent = () => replicas.flatMap((one) => one.requests).length;
      while (sent() < count) await new Promise((go) => setTimeout(go, 5));
    },
    leave: () => agent.destroy(),
    stop: () => {
      agent.destroy();
      callers.server.closeAllConnections();
      callers.server.close();
      context.pool.close();
      for (const one of replicas) one.stop();
    },
  };
}

/** Starts a rig for the time of `work`. */
export async function withRig(
  source: RigSource,
  work: (rig: Rig) => Promise<void>,
): Promise<void> {
  const rig = await startRig(source);
  try {
    await work(rig);
  } finally {
    rig.stop();
  }
}

function entryOf(
  replica: RawReplica,
  source: RigSource,
  at: number,
): ReplicaEntry {
  const stage = source.replicas[at]?.stage;
  return {
    id: `r${at}`,
    incarnation: `r${at}`,
    service: "service",
    address: replica.address,
    hall: "hall",
    slots: 4,
    leaving: false,
    ...(stage === undefined ? {} : { stage }),
    coldMs: 0,
  };
}

function createTestContext(
  source: RigSource,
  events: { name: string; fields: object }[],
): GatewayContext {
  const routes = new RouteTable();
  const { engine, budget } = source;
  routes.adopt({
    version: 1,
    routes: [{ ...ROUTE, ...source.route }],
    services: [{
      name: "service",
      connectionLimit: 100,
      ...(engine ? { engine } : {}),
    }],
    ...(source.customers ? { customers: source.customers } : {}),
    limits: { bodyBytes: 1 << 20, headerMs: AMPLE_MS, idleMs: AMPLE_MS },
  });
  const rule = { windowMs: AMPLE_MS, ratio: 0, extra: 10 };
  const log = {
    note: (name: string, fields?: object) =>
      void events.push({ name, fields: fields ?? {} }),
  };
  const metrics = new Metrics();
  const replicas = new ReplicaTable();
  const clock = { ...systemClock, now: source.now ?? systemClock.now };
  const limits = loneLimits({
    clock,
    events: log,
    metrics,
    replicaOf: (incarnation) => replicas.get(incarnation),
  });
  return {
    self: { id: "host", hall: "hall", run: "1" },
    clock,
    suspensions: neverSuspended(),
    eras: quietEras(),
    random: () => 0,
    dialect: testDialect,
    routes,
    replicas,
    budget: new RetryBudget({ ...rule, ...budget }, -AMPLE_MS),
    pool: new UpstreamPool(clock, AMPLE_MS),
    crashes: new CrashWatch({
      clock,
      events: log,
      metrics,
      rule: { most: 3, lifeMs: AMPLE_MS },
      isLeaving: (entry) => replicas.isLeaving(entry),
      probe: (address) => probeAddress(address, { clock, timeoutMs: AMPLE_MS }),
    }),
    limits,
    ...loneGate({ clock, events: log, replicas, limits }),
    events: log,
    metrics,
    tuning: {
      reserveTimeoutMs: AMPLE_MS,
      prefillTimeoutMs: AMPLE_MS,
      retryAfterObjectives: 1,
      stallMs: AMPLE_MS,
      outputMargin: 1,
      memoryShare: 1,
      farCharge: 0.1,
    },
    hostCount: () => 1,
    stop: { graceMs: AMPLE_MS },
  };
}

function call(
  port: number,
  agent: Agent,
  options: CallOptions,
): Promise<Seen> {
  const { id = "1", path = "/a/b", method = "GET", body = "" } = options;
  return new Promise((resolve, reject) => {
    const sending = request({
      host: "127.0.0.1",
      port,
      path,
      method,
      agent,
      headers: { host: "example", "x-id": id, ...options.headers },
    });
    sending.on("error", reject);
    sending.on("response", (answer) => {
      let text = "";
      answer.on("error", () => undefined);
      answer.on("data", (bytes: Buffer) => text += bytes.toString());
      answer.on("close", () =>
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          body: text,
          complete: answer.complete,
        }));
    });
    sending.end(body === "" ? undefined : body);
  });
}
