/**
 * The messages between a planner and its hosts. Guards against memory that is
 * released and not given to a waiting request before the interval's pass.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  GatewayContext,
  Scheduling,
} from "../../../src/gateway/context.ts";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { AssignmentStage } from "../../../src/gateway/planning/messages.ts";
import { PlanService } from "../../../src/gateway/planning/plan_service.ts";
import { Replica } from "../../../src/gateway/replicas/replica.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { MEMORY, planRequest, replica } from "./planner_rig.ts";

const SERVICE = { name: "s", engine: { cacheTokens: MEMORY } };

/**
 * A planner of one decode replica, and the times of its grants. The replica
 * reports that its memory is full.
 */
function start(scheduling: Scheduling = NO_SCHEDULING) {
  const time = new VirtualTime();
  const entry = replica("d", ReplicaStage.decode);
  const known = new Replica(entry);
  const context = {
    self: { id: "planner" },
    clock: time.clock,
    random: () => 0,
    replicas: {
      openReplicasOf: () => [{ entry }],
      get: () => known,
    },
    routes: {
      service: () => SERVICE,
      config: { services: [SERVICE] },
    },
    stop: {},
    gate: { obstacle: () => undefined, observeCall: () => undefined },
    paths: { monitor: { isLost: () => false } },
    pool: {
      sendControlCall: () => Promise.resolve({ status: 200, body: "" }),
    },
    dialect: {
      report: {},
      readAnswer: () => ({ misdirected: false }),
      readReport: () => ({ usedTokens: MEMORY }),
    },
    limits: { limitOf: () => undefined },
    tuning: { memoryShare: 1, remoteHallPenalty: 0, scheduling },
    events: { note: () => undefined },
    metrics: new Metrics(),
  } as unknown as GatewayContext;
  const service = new PlanService(context);
  const grants = new Map<string, number>();
  service.attach("host", (message) => {
    if (message.type === "grant") grants.set(message.id, time.now);
  });
  return { time, service, grants };
}

test("memory that is released goes to a waiting request at once", async () => {
  const { time, service, grants } = start();
  // A request that has begun is not refused because of its wait.
  const ask = (id: string) =>
    service.handle("host", planRequest(id, { tokens: MEMORY, begun: true }));
  time.at(0, () => ask("first"));
  time.at(1, () => ask("second"));
  time.at(30, () =>
    service.handle("host", {
      type: "progress",
      id: "first",
      stage: AssignmentStage.answered,
    }));
  await time.runTo(60);
  assert.deepEqual([...grants], [["first", 0], ["second", 30]]);
});

// Guards against a share from another time when the service is planned here again.
test("memory that is filled less is forgotten with the service", async () => {
  const { time, service } = start({ ...NO_SCHEDULING, measuredMemory: true });
  const planner = { id: "planner" };
  service.startMemoryReports(() => planner.id);
  service.handle("host", planRequest("first", { tokens: MEMORY, begun: true }));
  const shares = () =>
    service.gauges().find(({ name }) => name === "memory_fill")?.values;
  await time.runTo(5500);
  assert.equal(shares()?.length, 1);
  planner.id = "other";
  await time.runTo(7500);
  assert.deepEqual(shares(), []);
  planner.id = "planner";
  await time.runTo(8500);
  assert.deepEqual(shares(), []);
});
