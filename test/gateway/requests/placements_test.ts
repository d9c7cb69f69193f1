/** What placers ask of a planner, and what they give back. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { type Route, RouteKind } from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { HostMessageSchema } from "../../../src/gateway/planning/messages.ts";
import { Places } from "../../../src/gateway/planning/places.ts";
import type { PlanService } from "../../../src/gateway/planning/plan_service.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { Attempts } from "../../../src/gateway/requests/attempts.ts";
import { EnginePlacement } from "../../../src/gateway/requests/engine_placement.ts";
import { PlainPlacement } from "../../../src/gateway/requests/plain_placement.ts";
import type { GatewayRequest } from "../../../src/gateway/requests/request.ts";
import { testDialect } from "../dialect.ts";
import { loneLimits } from "../limits/lone_limits.ts";
import { loneGate } from "../replicas/lone_gate.ts";
import { ENGINE } from "../rig.ts";

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
  fingerprint: () => "",
  route: ROUTE,
  service: "s",
  priority: 1,
  receivedAt: 0,
  limitAt: 1000,
};

/** A context whose planner is a test, and what it was told over the wire. */
function start(answer: (message: object) => void) {
  const timers: (() => void)[] = [];
  const told: object[] = [];
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
    pool: { small: () => Promise.resolve({ status: 503, body: "" }) },
    events: { note: () => undefined },
    metrics: new Metrics(),
    limits: loneLimits(),
    replicas,
    routes: new RouteTable(),
    ...loneGate({ replicas }),
    tuning: { outputMargin: 1, farCharge: 0 },
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
  const plans = {
    attach: (_host: string, take: (message: object) => void) => reply = take,
    take: (_from: string, message: object) => {
      const wire: unknown = JSON.parse(JSON.stringify(message));
      told.push(HostMessageSchema.parse(wire));
      answer(message);
    },
  } as unknown as PlanService;
  const places = new Places(context, plans, () => []);
  return { context, places, timers, told, reply: (one: object) => reply(one) };
}

const typesOf = (told: readonly object[]) =>
  told.map((one) => {
    const { type, stage } = one as { type: string; stage?: string };
    return stage ?? type;
  });

test("a plain request asks in a form that the wire carries, and gives back", async () => {
  const rig = start((message) => {
    const { type, id } = message as { type: string; id: string };
    if (type === "ask") rig.reply({ type: "grant", id, decode: "a" });
  });
  const placer = new PlainPlacement(rig.context, REQUEST, rig.places);
  const placed = await placer.place({ excluded: new Set(), begun: false });
  assert.ok("replica" in placed && placed.replica.entry.incarnation === "a");
  placer.used();
  placer.end();
  assert.deepEqual(typesOf(rig.told), ["ask", "answered"]);
});

test("without a planner's word a plain request goes by the host's own calls", async () => {
  const rig = start(() => undefined);
  const placer = new PlainPlacement(rig.context, REQUEST, rig.places);
  const placing = placer.place({ excluded: new Set(), begun: false });
  for (const timer of rig.timers.splice(0)) timer();
  const placed = await placing;
  assert.ok("replica" in placed && placed.replica.entry.incarnation === "a");
  assert.deepEqual(typesOf(rig.told), ["ask", "ended"]);
});

test("a request that ends while its memory is refused asks no more", async () => {
  const rig = start((message) => {
    const { type, id } = message as { type: string; id: string };
    if (type !== "ask") return;
    queueMicrotask(() => rig.reply({ type: "grant", id, decode: "a" }));
    queueMicrotask(() => placer.end());
  });
  const { context, places } = rig;
  const attempts = new Attempts(context, REQUEST);
  const request = REQUEST;
  const source = { context, places, request, engine: ENGINE, attempts };
  const placer = new EnginePlacement(source);
  const placed = await placer.place({ excluded: new Set(), begun: false });
  assert.ok("error" in placed);
  const asks = typesOf(rig.told).filter((one) => one === "ask");
  assert.equal(asks.length, 1);
  assert.notEqual(typesOf(rig.told).at(-1), "ask");
});
