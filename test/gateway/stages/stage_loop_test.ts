/** Orders of stage changes: none is sent twice or while one may be pending. */
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
import { runStageLoop } from "../../../src/gateway/stages/stage_loop.ts";
import { testDialect } from "../dialect.ts";
import { singleHostGate } from "../replicas/single_host_gate.ts";
import { ENGINE } from "../rig.ts";
import { replicaEntry } from "../replica_entry.ts";
import { neverSuspended } from "../never_suspended.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";
import { steppedTime } from "./stepped_time.ts";
import { singleHostPaths } from "../paths/single_host_paths.ts";

const SWITCH_MS = 6000;
/** How late a replica may carry out an order that it did not answer. */
const MAX_ORDER_DELAY_MS = 12_000;
function engine(incarnation: string, stage: ReplicaStage): ReplicaEntry {
  return replicaEntry(incarnation, { stage });
}

/** Starts the loop with six prefill replicas where two are desired. */
function start(
  orderStatus: number | undefined,
  { onReport = () => undefined, reportedBorn }: {
    readonly onReport?: (replicas: ReplicaTable) => void;
    readonly reportedBorn?: number;
  } = {},
) {
  const { clock, advance } = steppedTime();
  const orders: string[] = [];
  const changing = new Map<string, ReplicaStage>();
  const replicas = new ReplicaTable();
  const entries = ["a", "b", "c", "d", "e", "f"].map((incarnation) =>
    engine(incarnation, ReplicaStage.prefill)
  ).map((entry) => ({ ...entry, born: 1 }));
  replicas.adopt({ revision: 1, entries });
  const report = { method: "GET" as const, path: "/report" };
  const context = {
    self: { id: "host", hall: "h", run: "1" },
    clock,
    replicas,
    ...singleHostGate({ replicas }),
    paths: singleHostPaths(clock),
    routes: {
      config: {
        services: [{
          name: "s",
          connectionLimit: 9,
          engine: { ...ENGINE, switchMs: SWITCH_MS },
        }],
      },
    },
    dialect: {
      report,
      readReport: () => ({
        stage: "prefill",
        orderCount: 0,
        isChanging: false,
        ...(reportedBorn === undefined ? {} : { born: reportedBorn }),
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
        else onReport(replicas);
        const status = path === "/order" ? orderStatus : 200;
        const answer = status === undefined ? undefined : { status, body: "" };
        return Promise.resolve(answer);
      },
    },
    events: { note: () => undefined },
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
    prefillShare: 1 / 3,
    storeAgeMs: () => 0,
    plannerOf: () => "host",
    loadOf: () => ({ prefill: 0, decode: 0 }),
    meter: { isEnabled: () => false, measure: () => undefined },
    splits: new Map(),
    changing,
  });
  return { advance, orders, changing };
}

test("before the first traffic all changes are ordered at once and none twice", async () => {
  const { advance, orders } = start(202);
  await advance(10_000);
  assert.equal(orders.length, 4);
  assert.equal(new Set(orders).size, 4);
});

test("a replica that did not answer an order gets no work while it may still carry it out", async () => {
  const { advance, orders, changing } = start(undefined);
  await advance(3000);
  assert.equal(orders.length, 4);
  await advance(MAX_ORDER_DELAY_MS + SWITCH_MS - 3000);
  assert.deepEqual([...changing.keys()].sort(), [...orders].sort());
  assert.equal(orders.length, 4);
});

test("a replica that restarts after its report gets no order", async () => {
  const { advance, orders, changing } = start(202, {
    onReport: (replicas) => {
      const entries = replicas.entries().map((entry) => ({
        ...entry,
        born: 2,
        incarnation: `${entry.id}@2`,
      }));
      replicas.adopt({ revision: 2, entries });
    },
  });
  await advance(3000);
  assert.deepEqual(orders, []);
  assert.equal(changing.size, 0);
});

test("the report of another start of a replica leads to no order", async () => {
  assert.equal(await ordersWith(1), 4);
  assert.equal(await ordersWith(2), 0);
});

async function ordersWith(reportedBorn: number): Promise<number> {
  const { advance, orders } = start(202, { reportedBorn });
  await advance(3000);
  return orders.length;
}
