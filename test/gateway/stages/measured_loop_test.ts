/**
 * Orders by measured demand: one that is lost or applied late is not followed
 * by another while it may be pending, and a planner that starts or that is cut
 * off from the store orders nothing.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import {
  type ReplicaEntry,
  ReplicaStage,
  type Store,
} from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import type { SplitDecision } from "../../../src/gateway/stages/measured_balance.ts";
import {
  runStageLoop,
  type StageLoopOptions,
} from "../../../src/gateway/stages/stage_loop.ts";
import { testDialect } from "../dialect.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";
import { neverSuspended } from "../never_suspended.ts";
import { singleHostGate } from "../replicas/single_host_gate.ts";
import { ENGINE } from "../rig.ts";
import { steppedTime } from "./stepped_time.ts";
import {
  capacitiesOf,
  demandOf,
  MEMORY,
  mixedPool,
  replicasOf,
  SWITCH_MS,
} from "./split_rig.ts";
import { singleHostPaths } from "../paths/single_host_paths.ts";

/** How late a replica may carry out an order that it did not answer. */
const MAX_ORDER_DELAY_MS = 12_000;
/** Two prefill replicas where one suffices. */
const SPECS = mixedPool(8, (at) => at < 2 ? "prefill" : "decode", 1);

/** Starts the loop; replicas answer orders with `orderStatus`. */
function start(
  orderStatus: number | undefined,
  overrides: Partial<StageLoopOptions> = {},
) {
  const { clock, advance } = steppedTime();
  const orders: string[] = [];
  const events: string[] = [];
  const splits = new Map<string, SplitDecision>();
  const changing = new Map<string, ReplicaStage>();
  const replicas = new ReplicaTable();
  replicas.adopt({ revision: 1, entries: replicasOf(SPECS) });
  const engine = { ...ENGINE, switchMs: SWITCH_MS };
  const context = {
    self: { id: "host", hall: "h", run: "1" },
    clock,
    replicas,
    ...singleHostGate({ replicas }),
    paths: singleHostPaths(clock),
    routes: { config: { services: [{ name: "s", engine }] } },
    dialect: {
      report: { method: "GET", path: "/report" },
      readReport: () => ({
        stage: ReplicaStage.prefill,
        orderCount: 0,
        isChanging: false,
      }),
      orderStage: () => ({ method: "POST", path: "/order", headers: [] }),
      readOrder: () => "taken",
      readAnswer: testDialect.readAnswer,
    },
    pool: {
      sendControlCall: (
        { incarnation }: ReplicaEntry,
        { call: { path } }: { call: { path: string } },
      ) => {
        if (path === "/order") orders.push(incarnation);
        const status = path === "/order" ? orderStatus : 200;
        return Promise.resolve(
          status === undefined ? undefined : { status, body: "" },
        );
      },
    },
    events: { note: (name: string) => events.push(name) },
    metrics: new Metrics(),
    stop: { graceMs: 8000 },
    eras: emptyStoreEras(),
    suspensions: neverSuspended(),
  } as unknown as GatewayContext;
  const store = {
    readRows: () => Promise.resolve({ rows: [], nowMs: clock.now() }),
    writeRow: () =>
      Promise.resolve({ type: "written", revision: 7, nowMs: clock.now() }),
  } as unknown as Store;
  void runStageLoop({
    context,
    store,
    holder: "host",
    guardMs: 3000,
    prefillShare: 0.22,
    storeAgeMs: () => 0,
    plannerOf: () => "host",
    loadOf: () => ({ prefill: 0.4, decode: 0.99 }),
    meter: {
      isEnabled: () => true,
      measure: () => ({
        demand: demandOf(0.6, 8),
        memory: MEMORY,
        capacities: capacitiesOf(SPECS),
      }),
    },
    splits,
    changing,
    ...overrides,
  });
  return { advance, orders, events, splits, changing };
}

test("a change that is due is ordered once, with an event and its figures", async () => {
  const { advance, orders, events, splits } = start(202);
  await advance(10_000);
  assert.equal(orders.length, 1);
  assert.deepEqual(events, ["splitWanted", "stageOrdered"]);
  assert.equal(splits.get("s")?.wantedPrefills, 1);
});

test("an order that was not answered is not followed by another while it may be pending", async () => {
  const { advance, orders, changing } = start(undefined);
  await advance(8000);
  assert.equal(orders.length, 1);
  await advance(MAX_ORDER_DELAY_MS);
  assert.equal(orders.length, 1);
  assert.deepEqual([...changing.keys()], orders);
});

test("without the store there is no lease and no order", async () => {
  const readRows = () => Promise.reject(new Error("Unreachable"));
  const { advance, orders } = start(202, {
    store: { readRows } as unknown as Store,
  });
  await advance(20_000);
  assert.deepEqual(orders, []);
});

test("a planner that has measured nothing leaves the split alone under traffic", async () => {
  const { advance, orders, splits } = start(202, {
    prefillShare: 0.9,
    meter: { isEnabled: () => true, measure: () => undefined },
  });
  await advance(30_000);
  assert.deepEqual(orders, []);
  assert.equal(splits.size, 0);
});

test("a host that is cut off from the store orders nothing", async () => {
  const { advance, orders } = start(202, { storeAgeMs: () => 5000 });
  await advance(30_000);
  assert.deepEqual(orders, []);
});

test("a host that no longer plans the service orders nothing and shows no split", async () => {
  let planner = "host";
  const { advance, orders, splits } = start(202, {
    plannerOf: () => planner,
  });
  await advance(1000);
  assert.equal(splits.size, 1);
  planner = "other";
  await advance(30_000);
  assert.deepEqual(orders, []);
  assert.equal(splits.size, 0);
});

test("switched off, the fixed share applies", async () => {
  const { advance, orders, splits } = start(202, {
    prefillShare: 0.05,
    loadOf: () => ({ prefill: 0, decode: 0 }),
    meter: { isEnabled: () => false, measure: () => undefined },
  });
  await advance(3000);
  assert.ok(orders.length > 0);
  assert.equal(splits.size, 0);
});
