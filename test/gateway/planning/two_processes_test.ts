/**
 * Two processes of one host at its planner: one that drains, and the next one.
 * Guards against a host whose requests get no response, since the end of the link
 * of its former process ended its messages.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import {
  type Link,
  LinkPath,
  openLink,
} from "../../../src/gateway/peers/link.ts";
import { PlanService } from "../../../src/gateway/planning/plan_service.ts";
import { Replica } from "../../../src/gateway/replicas/replica.ts";
import { LOOPBACK } from "../../loopback.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { until } from "../raw_connection.ts";
import { MEMORY, planRequest, replica } from "./planner_rig.ts";

/** A planner of one decode replica. */
function createPlanner(): PlanService {
  const entry = replica("d", ReplicaStage.decode);
  const known = new Replica(entry);
  return new PlanService({
    self: { id: "planner" },
    clock: systemClock,
    random: () => 0,
    replicas: { openReplicasOf: () => [{ entry }], get: () => known },
    routes: {
      service: () => ({ name: "s", engine: { cacheTokens: MEMORY } }),
    },
    limits: { limitOf: () => undefined },
    tuning: {
      memoryShare: 1,
      remoteHallPenalty: 0,
      scheduling: NO_SCHEDULING,
    },
    events: { note: () => undefined },
    metrics: new Metrics(),
  } as unknown as GatewayContext);
}

/** A process of the host, linked to the planner. */
async function startProcess(address: string, run: string) {
  const lines: string[] = [];
  let isClosed = false;
  const link = await new Promise<Link>((resolve) => {
    const target = { address, path: LinkPath.plan, self: "host", run };
    const opened: Link = openLink({ ...target, clock: systemClock }, {
      ready: () => resolve(opened),
      line: (text) => lines.push(text),
      closed: () => isClosed = true,
    });
  });
  const isGranted = (id: string) =>
    lines.some((line) =>
      line.includes('"grant"') && line.includes(JSON.stringify(id))
    );
  const ask = (id: string) => link.send(planRequest(id, { tokens: 1 }));
  return { link, ask, isGranted, isClosed: () => isClosed };
}

const OPTIONS = { timeout: 30_000 };

test(
  "a host gets responses after the end of the process that it replaced",
  OPTIONS,
  async () => {
    const planner = createPlanner();
    let links = 0;
    const server = createServer((request, response) => {
      request.on("close", () => links -= 1);
      links += 1;
      planner.accept(request, response);
    });
    server.listen(0, LOOPBACK);
    await once(server, "listening");
    const address = `${LOOPBACK}:${(server.address() as AddressInfo).port}`;
    try {
      const next = await startProcess(address, "2");
      // The process that drains opens its link again.
      const former = await startProcess(address, "1");
      former.ask("former");
      await until(() => former.isGranted("former"));
      former.link.close();
      await until(() => links === 1);
      next.ask("next");
      await until(() => next.isGranted("next"));
      next.link.close();
    } finally {
      server.closeAllConnections();
      server.close();
    }
  },
);
