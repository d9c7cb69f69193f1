/**
 * Hosts that stop while others depend on them. Guards against requests that are
 * cut because the host that plans them, or carries them, exits.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { CallKind, type CallResult } from "./call.ts";
import { callHost, type FleetHost } from "./fleet.ts";
import { PathCut } from "./replica_path.ts";
import { sendLate } from "./late_request.ts";
import { sleep } from "./sleep.ts";
import {
  areServedAtAll,
  runCallers,
  runCallersUntil,
  type TestFleet,
  withFleet,
} from "./test_fleet.ts";

const WARM_UP_MS = 1500;
const CALLERS_PER_HOST = 6;
const PAUSE_MS = 20;
/** A multiple of the work of plain replicas: 30 ms. */
const SLOWDOWN = 20;
/** Calls that outlast the grace period of a host that stopped before them. */
const LONG_SLOWDOWN = 250;
const KINDS = [CallKind.safe, CallKind.unsafe, CallKind.stream];

/** Calls these hosts without a pause while `work` goes on. */
async function callDuring(
  hosts: readonly FleetHost[],
  work: () => Promise<void>,
): Promise<CallResult[]> {
  const results: CallResult[] = [];
  let isOver = false;
  const callers = hosts.flatMap((host) =>
    Array.from({ length: CALLERS_PER_HOST }, async (_, at) => {
      const kind = KINDS[at % KINDS.length] ?? CallKind.safe;
      const name = `${kind}-${host.process.name}-${at}`;
      for (let count = 0; !isOver; count++) {
        results.push(await callHost(host, { id: `${name}-${count}`, kind }));
        await sleep(PAUSE_MS);
      }
    })
  );
  await work();
  isOver = true;
  await Promise.all(callers);
  return results;
}

/** Requests that reached a replica and were not answered by it completely. */
function cutRequests(
  { world }: TestFleet,
  results: readonly CallResult[],
): string[] {
  const ran = new Set(
    world.arrivals.filter(({ ran }) => ran).map(({ request }) => request),
  );
  return results
    .filter(({ id, status, isComplete }) =>
      ran.has(id) && (status !== 200 || !isComplete)
    )
    .map(({ id, status }) => `${id}: ${status}`);
}

function note(test: TestContext, results: readonly CallResult[]): void {
  const counts: Record<string, number> = {};
  for (const { status, isComplete } of results) {
    const key = isComplete ? String(status) : `${status} incomplete`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  test.diagnostic(JSON.stringify(counts));
}

async function prepare(fleet: TestFleet): Promise<void> {
  for (const { standin } of fleet.world.readyReplicas()) {
    if (standin.role === "plain") standin.slowdown = SLOWDOWN;
  }
  await runCallers(fleet, { kinds: KINDS, forMs: WARM_UP_MS });
}

test("hosts that stop one after the other cut no request, planners included", async (test) => {
  await withFleet(async (fleet) => {
    await prepare(fleet);
    const results = await callDuring(fleet.hosts, async () => {
      await Promise.all(
        fleet.hosts.slice(1).map(async ({ process }, at) => {
          await sleep(1500 * at);
          await process.stop();
        }),
      );
    });
    note(test, results);
    assert.deepEqual(cutRequests(fleet, results), []);
    assert.ok(results.some(({ status }) => status === 200));
  });
});

test("hosts that all stop at once cut no request", async (test) => {
  await withFleet(async (fleet) => {
    await prepare(fleet);
    const results = await callDuring(fleet.hosts, async () => {
      await Promise.all(fleet.hosts.map(({ process }) => process.stop()));
    });
    note(test, results);
    assert.deepEqual(cutRequests(fleet, results), []);
    assert.ok(results.some(({ status }) => status === 200));
  });
});

test("a stopping host finishes the calls that it carries for others", async (test) => {
  await withFleet(async (fleet) => {
    await prepare(fleet);
    const cut = fleet.hosts.slice(2);
    for (const { process } of cut) process.cutReplicas(PathCut.hang);
    await runCallersUntil(fleet, {
      kinds: KINDS,
      condition: (results) => areServedAtAll(fleet, results),
      what: "all hosts serve by way of others",
    });
    const results = await callDuring(cut, async () => {
      await sleep(500);
      await fleet.hosts[0]?.process.stop();
    });
    note(test, results);
    assert.deepEqual(cutRequests(fleet, results), []);
    assert.ok(results.some(({ status }) => status === 200));
  });
});

test("no call begins over a tunnel of a host that has announced its stop", async (test) => {
  await withFleet(async (fleet) => {
    const [carrier, host] = fleet.hosts;
    assert.ok(carrier && host);
    host.process.cutReplicas(PathCut.hang);
    const kinds = [CallKind.unsafe];
    await runCallersUntil(fleet, {
      kinds,
      condition: (results) => areServedAtAll(fleet, results),
      what: "both hosts serve",
    });
    // Opens tunnels that are young when their host stops.
    await runCallers(fleet, { kinds, forMs: WARM_UP_MS });
    const stopped = carrier.process.stop();
    for (const { standin } of fleet.world.readyReplicas()) {
      standin.slowdown = LONG_SLOWDOWN;
    }
    const results = await Promise.all(
      Array.from({ length: 8 }, (_, at) =>
        sendLate({
          id: `carried-${at}`,
          kind: CallKind.unsafe,
          address: host.callers,
          headAfterMs: 600 + 100 * at,
          bodyAfterMs: 0,
        })),
    );
    await stopped;
    test.diagnostic(results.map(({ status }) => status).join());
    assert.deepEqual(results.filter(({ status }) => status === 502), []);
  }, { hosts: 2, routeTimeoutMs: 12_000 });
});
