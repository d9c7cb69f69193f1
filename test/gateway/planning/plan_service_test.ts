/**
 * The messages between a planner and its hosts. Guards against memory that is
 * released and not given to a waiting request before the interval's pass.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { AssignmentStage } from "../../../src/gateway/planning/messages.ts";
import { PlanService } from "../../../src/gateway/planning/plan_service.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { MEMORY, planRequest, replica } from "./planner_rig.ts";

/** A planner of one decode replica, and the times of its grants. */
function start() {
  const time = new VirtualTime();
  const entry = replica("d", ReplicaStage.decode);
  const context = {
    self: { id: "planner" },
    clock: time.clock,
    random: () => 0,
    replicas: { openReplicasOf: () => [{ entry }], get: () => undefined },
    routes: { service: () => ({ engine: { cacheTokens: MEMORY } }) },
    limits: { limitOf: () => undefined },
    tuning: { memoryShare: 1, remoteHallPenalty: 0, scheduling: NO_SCHEDULING },
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
