/** Places requests at model engines in virtual time, without a network. */
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
import type { Call, CallOutcome } from "../../../src/gateway/upstreams/call.ts";
import type { ControlCallOptions } from "../../../src/gateway/upstreams/control_call.ts";
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
const PREFILL_TIMEOUT_MS = 1000;
/** The route of the requests. */
export const ENGINE_ROUTE = {
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
  route: ENGINE_ROUTE,
  service: "service",
  priority: 1,
  receivedAt: 0,
  loopDelayMs: 0,
  deadline: 4000,
};

/** The memory of one request. */
export const REQUEST_TOKENS = memoryTokens(
  REQUEST.facts,
  ENGINE,
  TEST_TUNING.outputMargin,
);

/** A call to a replica and when it was made. */
export type SentCall = {
  readonly replica: string;
  readonly call: JsonCall;
  readonly at: number;
};

/** The replicas of a test. */
export type PlacementRigOptions = {
  /** How long reservations take at decode replicas, by id. */
  readonly reservationMs: Readonly<Record<string, number>>;
  /** Prefill replicas that respond to nothing. */
  readonly silentPrefills?: readonly string[];
};

/** Starts a host that plans for itself. */
export function startPlacements(
  { reservationMs, silentPrefills = [] }: PlacementRigOptions,
) {
  const { clock, advance } = steppedTime();
  const sent: SentCall[] = [];
  const replicas = new ReplicaTable();
  const routes = new RouteTable();
  routes.adopt({
    version: 1,
    routes: [ENGINE_ROUTE],
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
      const delayMs = reservationMs[incarnation] ?? 0;
      if (delayMs < timeoutMs) {
        clock.after(delayMs, () => resolve({ status: 200, body }));
      } else clock.after(timeoutMs, () => resolve(undefined));
    });
  };
  const send = (): Call => {
    let abort: Call["abort"] = () => undefined;
    const outcome = new Promise<CallOutcome>((resolve) => {
      abort = (reason) =>
        resolve({ type: "broken", reason, isAborted: true, isStale: false });
    });
    return { outcome, abort: (reason) => abort(reason) };
  };
  const context = {
    self: { id: "host", hall: "h", run: "1" },
    clock,
    random: () => 0,
    dialect: testDialect,
    pool: { sendControlCall, send },
    crashes: { quarantineOf: () => undefined, noteBrokenSend: () => undefined },
    retryBudget: { acquire: () => true },
    hostCount: () => 1,
    events: { note: () => undefined },
    metrics: new Metrics(),
    limits: singleHostLimits(),
    replicas,
    routes,
    ...singleHostGate({ clock, replicas }),
    paths: singleHostPaths(clock),
    tuning: {
      ...TEST_TUNING,
      reserveTimeoutMs: RESERVE_TIMEOUT_MS,
      prefillTimeoutMs: PREFILL_TIMEOUT_MS,
    },
  } as unknown as GatewayContext;
  replicas.adopt({
    revision: 1,
    entries: [
      ...entriesOf(Object.keys(reservationMs), ReplicaStage.decode),
      ...entriesOf(silentPrefills, ReplicaStage.prefill),
    ],
  });
  const plans = new PlanService(context);
  const planner = new PlannerClient(context, plans, () => []);
  const place = () => {
    const attempts = new Attempts(context, REQUEST);
    const request = { ...REQUEST, receivedAt: clock.now() };
    const placer = new EnginePlacement({
      context,
      request: { ...request, deadline: clock.now() + ENGINE_ROUTE.timeoutMs },
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

function entriesOf(ids: readonly string[], stage: ReplicaStage) {
  return ids.map((id) =>
    replicaEntry(id, { service: "service", hall: "h", stage })
  );
}

/** The calls of one method. */
export function callsOf(
  sent: readonly SentCall[],
  method: string,
): SentCall[] {
  return sent.filter(({ call }) => call.method === method);
}
