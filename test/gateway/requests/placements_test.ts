/** The messages that placers exchange with a planner. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import {
  ReplicaStage,
  type Route,
  RouteKind,
} from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { HostMessageSchema } from "../../../src/gateway/planning/messages.ts";
import { PlannerClient } from "../../../src/gateway/planning/planner_client.ts";
import type { PlanService } from "../../../src/gateway/planning/plan_service.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { namedFingerprints } from "../crashes/named_fingerprints.ts";
import { Attempts } from "../../../src/gateway/requests/attempts.ts";
import { EnginePlacement } from "../../../src/gateway/requests/engine_placement.ts";
import { PlainPlacement } from "../../../src/gateway/requests/plain_placement.ts";
import type { GatewayRequest } from "../../../src/gateway/requests/request.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { testDialect } from "../dialect.ts";
import { singleHostLimits } from "../limits/single_host_limits.ts";
import { singleHostGate } from "../replicas/single_host_gate.ts";
import { ENGINE } from "../rig.ts";
import { singleHostPaths } from "../paths/single_host_paths.ts";

const ROUTE: Route = {
  name: "route",
  host: "example",
  pathPrefix: "/",
  kind: RouteKind.safe,
  timeoutMs: 1000,
  objectiveMs: 200,
  gapMs: 200,
  silenceMs: 900,
  attempts: 2,
  priority: 1,
  targets: [{ service: "s", weight: 1 }],
  resumable: false,
  anonymous: false,
};

const REQUEST: GatewayRequest = {
  method: "GET",
  target: "/",
  rawHeaders: [],
  facts: { id: "r", promptTokens: 0, outputLimit: 0 },
  body: Buffer.alloc(0),
  fingerprints: namedFingerprints(""),
  route: ROUTE,
  service: "s",
  priority: 1,
  receivedAt: 0,
  loopDelayMs: 0,
  deadline: 1000,
};

/** Creates a context with a fake planner that records its messages. */
function start(onMessage: (message: object) => void) {
  const timers: (() => void)[] = [];
  const messages: object[] = [];
  let reply: (message: object) => void = () => undefined;
  const replicas = new ReplicaTable();
  const context = {
    self: { id: "host", hall: "h", run: "1" },
    clock: {
      now: () => 0,
      after: (_delayMs: number, work: () => void) => {
        timers.push(work);
        return () => timers.splice(timers.indexOf(work), 1);
      },
    },
    random: () => 0,
    dialect: {
      reserve: () => ({ method: "POST", path: "/" }),
      readReservation: () => undefined,
      readAnswer: testDialect.readAnswer,
    },
    pool: { sendControlCall: () => Promise.resolve({ status: 503, body: "" }) },
    events: { note: () => undefined },
    metrics: new Metrics(),
    limits: singleHostLimits(),
    replicas,
    routes: new RouteTable(),
    ...singleHostGate({ replicas }),
    paths: singleHostPaths({ now: () => 0, after: () => () => undefined }),
    tuning: {
      outputMargin: 1,
      remoteHallPenalty: 0,
      scheduling: { ...NO_SCHEDULING, customerShares: true },
    },
  } as unknown as GatewayContext;
  context.replicas.adopt({
    revision: 1,
    entries: [{
      id: "a",
      incarnation: "a",
      service: "s",
      address: "127.0.0.1:1",
      hall: "h",
      slots: 1,
      leaving: false,
      coldMs: 0,
    }],
  });
  const planService = {
    attach: (_host: string, receive: (message: object) => void) =>
      reply = receive,
    handle: (_from: string, message: object) => {
      const wire: unknown = JSON.parse(JSON.stringify(message));
      messages.push(HostMessageSchema.parse(wire));
      onMessage(message);
    },
  } as unknown as PlanService;
  const planner = new PlannerClient(context, planService, () => []);
  return {
    context,
    planner,
    timers,
    messages,
    reply: (message: object) => reply(message),
  };
}

/** Lists a replica of another version besides "a", which has none. */
function addVersion(
  { context }: ReturnType<typeof start>,
  stage?: ReplicaStage,
): void {
  const entries = context.replicas.entries().map((entry) =>
    stage === undefined ? entry : { ...entry, stage }
  );
  const other = { id: "b", incarnation: "b", softwareVersion: "v2" };
  context.replicas.adopt({
    revision: 2,
    entries: entries.flatMap((entry) => [entry, { ...entry, ...other }]),
  });
}

const typesOf = (messages: readonly object[]) =>
  messages.map((message) => {
    const { type, stage } = message as { type: string; stage?: string };
    return stage ?? type;
  });

test("a plain placement sends valid messages and releases its assignment", async () => {
  const rig = start((message) => {
    const { type, id } = message as { type: string; id: string };
    if (type === "ask") rig.reply({ type: "grant", id, decode: "a" });
  });
  const placer = new PlainPlacement(rig.context, REQUEST, rig.planner);
  const placed = await placer.place({ excluded: new Set(), mayHaveRun: false });
  assert.ok("replica" in placed && placed.replica.entry.incarnation === "a");
  placer.completed();
  placer.end();
  assert.deepEqual(typesOf(rig.messages), ["ask", "answered"]);
});

test("a plain placement without a planner's response uses the host's own call counts", async () => {
  const rig = start(() => undefined);
  const placer = new PlainPlacement(rig.context, REQUEST, rig.planner);
  const placing = placer.place({ excluded: new Set(), mayHaveRun: false });
  for (const timer of rig.timers.splice(0)) timer();
  const placed = await placing;
  assert.ok("replica" in placed && placed.replica.entry.incarnation === "a");
  assert.deepEqual(typesOf(rig.messages), ["ask", "ended"]);
});

test("a host whose planner doesn't respond grants a customer what the planner granted last", async () => {
  let isSilent = false;
  const rig = start((message) => {
    const { type, id } = message as { type: string; id: string };
    if (type !== "ask" || isSilent) return;
    const basis = { decodes: 0, held: 0, waiting: 1 };
    rig.reply({ type: "refusal", id, reason: "busy", retryAfterMs: 9, basis });
  });
  const place = (name: string, mayHaveRun = false) => {
    const customer = { name, keyDigests: [] };
    const request = { ...REQUEST, customer };
    const placer = new PlainPlacement(rig.context, request, rig.planner);
    return placer.place({ excluded: new Set(), mayHaveRun });
  };
  Object.assign(rig.context, { random: () => 0.5 });
  assert.ok("error" in await place("hot"));
  isSilent = true;
  const unplanned = [place("hot"), place("other"), place("hot", true)];
  for (const timer of rig.timers.splice(0)) timer();
  const placed = await Promise.all(unplanned);
  assert.deepEqual(placed.map((result) => "error" in result), [
    true,
    false,
    false,
  ]);
});

test("a request that ends while its reservation is refused sends no further request", async () => {
  const rig = start((message) => {
    const { type, id } = message as { type: string; id: string };
    if (type !== "ask") return;
    queueMicrotask(() => rig.reply({ type: "grant", id, decode: "a" }));
    queueMicrotask(() => placer.end());
  });
  const { context, planner } = rig;
  const attempts = new Attempts(context, REQUEST);
  const request = REQUEST;
  const options = { context, planner, request, engine: ENGINE, attempts };
  const placer = new EnginePlacement(options);
  const placed = await placer.place({ excluded: new Set(), mayHaveRun: false });
  assert.ok("error" in placed);
  const requests = typesOf(rig.messages).filter((type) => type === "ask");
  assert.equal(requests.length, 1);
  assert.notEqual(typesOf(rig.messages).at(-1), "ask");
});

test("a request that ends while its assignment is not usable sends no further request", async () => {
  for (const decode of ["unlisted", "a"]) {
    const rig = start((message) => {
      const { type, id } = message as { type: string; id: string };
      if (type === "ask") rig.reply({ type: "grant", id, decode });
    });
    addVersion(rig);
    const { context, planner } = rig;
    const attempts = new Attempts(context, REQUEST);
    const options = { context, planner, request: REQUEST, engine: ENGINE };
    const placer = new EnginePlacement({ ...options, attempts });
    const placing = placer.place({
      excluded: new Set(),
      mayHaveRun: false,
      requiredVersion: { softwareVersion: "v2" },
    });
    placer.end();
    await new Promise((resolve) => setImmediate(resolve));
    for (const timer of rig.timers.splice(0)) timer();
    await new Promise((resolve) => setImmediate(resolve));
    assert.deepEqual(typesOf(rig.messages), ["ask", "ended"]);
    assert.ok("error" in await placing);
  }
});

test("a stream that an older planner assigns to another version asks again without it", async () => {
  const asked: object[] = [];
  const rig = start((message) => {
    const { type, id, excluded, boundTo } = message as {
      type: string;
      id: string;
      excluded: string[];
      boundTo: object;
    };
    if (type !== "ask") return;
    asked.push({ excluded, boundTo });
    // Reads the exclusions, but not the version.
    const decode = excluded.includes("a") ? "b" : "a";
    rig.reply({ type: "grant", id, decode });
  });
  addVersion(rig, ReplicaStage.decode);
  const { context, planner } = rig;
  context.routes.adopt({
    version: 1,
    routes: [],
    services: [{ name: "s", connectionLimit: 1, engine: ENGINE }],
    limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 },
  });
  Object.assign(context.dialect, { readReservation: () => "reservation" });
  const call = () => Promise.resolve({ status: 200, body: "" });
  Object.assign(context.pool, { sendControlCall: call });
  const attempts = new Attempts(context, REQUEST);
  const options = { context, planner, request: REQUEST, engine: ENGINE };
  const placer = new EnginePlacement({ ...options, attempts });
  const placed = await placer.place({
    excluded: new Set(),
    mayHaveRun: true,
    requiredVersion: { softwareVersion: "v2" },
  });
  assert.ok("replica" in placed && placed.replica.entry.incarnation === "b");
  const boundTo = { softwareVersion: "v2" };
  assert.deepEqual(asked, [
    { excluded: [], boundTo },
    { excluded: ["a"], boundTo },
  ]);
  assert.deepEqual(typesOf(rig.messages), ["ask", "ended", "ask"]);
});

test("a plain stream is never placed at another version", async () => {
  for (const isSilent of [false, true]) {
    const rig = start((message) => {
      const { type, id } = message as { type: string; id: string };
      if (isSilent || type !== "ask") return;
      rig.reply({ type: "grant", id, decode: "a" });
    });
    addVersion(rig);
    const placer = new PlainPlacement(rig.context, REQUEST, rig.planner);
    const placing = placer.place({
      excluded: new Set(),
      mayHaveRun: true,
      requiredVersion: { softwareVersion: "v2" },
    });
    for (const timer of rig.timers.splice(0)) timer();
    const placed = await placing;
    assert.ok("replica" in placed && placed.replica.entry.incarnation === "b");
  }
});
