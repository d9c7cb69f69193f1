/**
 * Guards against streams that are all refused, while no memory is in use, where
 * each reservation takes longer than its timeout: its response came when the
 * call had been given up and repeated.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import {
  type JsonCall,
  type ReplicaEntry,
  ReplicaStage,
  RouteKind,
} from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { PlannerClient } from "../../../src/gateway/planning/planner_client.ts";
import { PlanService } from "../../../src/gateway/planning/plan_service.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { Attempts } from "../../../src/gateway/requests/attempts.ts";
import { EnginePlacement } from "../../../src/gateway/requests/engine_placement.ts";
import { memoryTokens } from "../../../src/gateway/requests/memory.ts";
import type {
  Placement,
  PlacementRefusal,
} from "../../../src/gateway/requests/placement.ts";
import type { GatewayRequest } from "../../../src/gateway/requests/request.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import type { ControlCallOptions } from "../../../src/gateway/upstreams/pool.ts";
import { namedFingerprints } from "../crashes/named_fingerprints.ts";
import { testDialect } from "../dialect.ts";
import { singleHostLimits } from "../limits/single_host_limits.ts";
import { singleHostPaths } from "../paths/single_host_paths.ts";
import { replicaEntry } from "../replica_entry.ts";
import { singleHostGate } from "../replicas/single_host_gate.ts";
import { ENGINE } from "../rig.ts";
import { steppedTime } from "../stages/stepped_time.ts";
import { TEST_ROUTE } from "../test_route.ts";
import { TEST_TUNING } from "../test_tuning.ts";

const RESERVE_TIMEOUT_MS = 250;
/** Shorter than the lifetime of a reservation. */
const LATE_MS = 1200;
const ROUTE = {
  ...TEST_ROUTE,
  kind: RouteKind.streaming,
  timeoutMs: 4000,
  silenceMs: 4000,
};
const REQUEST: GatewayRequest = {
  method: "POST",
  target: "/a/b",
  rawHeaders: [],
  facts: { id: "r", promptTokens: 100, outputLimit: 20 },
  body: Buffer.alloc(0),
  fingerprints: namedFingerprints(""),
  route: ROUTE,
  service: "service",
  priority: 1,
  receivedAt: 0,
  loopDelayMs: 0,
  deadline: 4000,
};

/** The memory of one request. */
const TOKENS = memoryTokens(REQUEST.facts, ENGINE, TEST_TUNING.outputMargin);

/** A call to a replica and when it was made. */
type SentCall = {
  readonly replica: string;
  readonly call: JsonCall;
  readonly at: number;
};

/** Starts a host that plans for itself; replicas respond after these times. */
function start(delays: Readonly<Record<string, number>>) {
  const { clock, advance } = steppedTime();
  const sent: SentCall[] = [];
  const replicas = new ReplicaTable();
  const routes = new RouteTable();
  routes.adopt({
    version: 1,
    routes: [ROUTE],
    services: [{ name: "service", connectionLimit: 100, engine: ENGINE }],
    limits: { bodyBytes: 1000, headerMs: 1000, idleMs: 1000 },
  });
  const sendControlCall = (
    { incarnation }: ReplicaEntry,
    { call, timeoutMs }: ControlCallOptions,
  ) => {
    sent.push({ replica: incarnation, call, at: clock.now() });
    const body = JSON.stringify({ reservation: `m${sent.length}` });
    return new Promise((resolve) => {
      const delayMs = delays[incarnation] ?? 0;
      if (delayMs < timeoutMs) {
        clock.after(delayMs, () => resolve({ status: 200, body }));
      } else clock.after(timeoutMs, () => resolve(undefined));
    });
  };
  const context = {
    self: { id: "host", hall: "h", run: "1" },
    clock,
    random: () => 0,
    dialect: testDialect,
    pool: { sendControlCall },
    events: { note: () => undefined },
    metrics: new Metrics(),
    limits: singleHostLimits(),
    replicas,
    routes,
    ...singleHostGate({ clock, replicas }),
    paths: singleHostPaths(clock),
    tuning: { ...TEST_TUNING, reserveTimeoutMs: RESERVE_TIMEOUT_MS },
  } as unknown as GatewayContext;
  replicas.adopt({
    revision: 1,
    entries: Object.keys(delays).map((id) =>
      replicaEntry(id, {
        service: "service",
        hall: "h",
        stage: ReplicaStage.decode,
      })
    ),
  });
  const plans = new PlanService(context);
  const planner = new PlannerClient(context, plans, () => []);
  const place = () => {
    const attempts = new Attempts(context, REQUEST);
    const request = { ...REQUEST, receivedAt: clock.now() };
    const placer = new EnginePlacement({
      context,
      request: { ...request, deadline: clock.now() + ROUTE.timeoutMs },
      attempts,
      planner,
      engine: ENGINE,
    });
    const state: { result?: Placement | PlacementRefusal } = {};
    void placer.place({ excluded: new Set(), mayHaveRun: false })
      .then((result) => state.result = result);
    return { placer, state };
  };
  return { advance, sent, plans, place };
}

const callsOf = (sent: readonly SentCall[], method: string) =>
  sent.filter(({ call }) => call.method === method);

test("a stream is placed though each reservation takes longer than every timeout", async () => {
  const { advance, sent, place, plans } = start({ d1: LATE_MS, d2: LATE_MS });
  const { state } = place();
  await advance(ROUTE.timeoutMs);
  assert.ok(state.result && "replica" in state.result, "It was refused");
  assert.equal(callsOf(sent, "POST").length, 2);
  const { running, reserved } = plans.memoryByUse;
  assert.equal(running + reserved, TOKENS);
});

test("a reservation that takes long is not repeated at its replica", async () => {
  const { advance, sent, place } = start({ d1: LATE_MS });
  const { state } = place();
  await advance(ROUTE.timeoutMs);
  assert.ok(state.result && "replica" in state.result, "It was refused");
  assert.equal(callsOf(sent, "POST").length, 1);
});

test("a reservation that is granted late and not needed is released", async () => {
  const { advance, sent, place, plans } = start({ d1: LATE_MS, d2: 100 });
  const { state } = place();
  await advance(ROUTE.timeoutMs);
  assert.ok(state.result && "replica" in state.result, "It was refused");
  assert.equal(state.result.replica.entry.incarnation, "d2");
  const released = callsOf(sent, "DELETE").map(({ replica }) => replica);
  assert.deepEqual(released, ["d1"]);
  const { running, reserved } = plans.memoryByUse;
  assert.equal(running + reserved, TOKENS);
});

test("a reservation that is granted after its request is released", async () => {
  const { advance, sent, place, plans } = start({ d1: LATE_MS });
  const { placer } = place();
  await advance(LATE_MS / 2);
  placer.end();
  await advance(ROUTE.timeoutMs);
  assert.equal(callsOf(sent, "POST").length, 1);
  assert.equal(callsOf(sent, "DELETE").length, 1);
  const { running, reserved } = plans.memoryByUse;
  assert.equal(running + reserved, 0);
});
