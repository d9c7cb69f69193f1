/**
 * Hosts that stand still while replicas end responses without framing and start
 * again. Guards against parts that the next process at a replica's address
 * confirms as whole.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { ConnectionEnd, Framing } from "../platform/response_standin.ts";
import type { ReplicaRole } from "../platform/replica_standin.ts";
import { CallKind, type CallResult } from "./call.ts";
import { callHost } from "./fleet.ts";
import { restartInPlace } from "./restart_in_place.ts";
import { sleep } from "./sleep.ts";
import { isServed, type TestFleet, withFleet } from "./test_fleet.ts";
import { isOwnAndComplete } from "./whole_responses.ts";
import type { WorldReplica } from "./world.ts";

const HOSTS = 2;
const REQUESTS = 12;
/** Streams take 0.8 s, plain responses with this factor 0.6 s. */
const PLAIN_SLOWDOWN = 20;
const RUNNING_MS = 400;
const STANDSTILL_MS = 900;
/** Longer than a host remembers that it stood still, by its ticks. */
const RECOVERY_MS = 500;

/** Calls the first host, which stands still from a moment on. */
async function callWhileStandingStill(
  { hosts }: TestFleet,
  kinds: readonly CallKind[],
  whileStandingStill: () => Promise<void>,
): Promise<CallResult[]> {
  const [host] = hosts;
  assert.ok(host);
  const calls = kinds.flatMap((kind) =>
    Array.from(
      { length: REQUESTS },
      (_, at) => callHost(host, { id: `${kind}-${at}`, kind }),
    )
  );
  await sleep(RUNNING_MS);
  host.process.pause();
  await Promise.all([whileStandingStill(), sleep(STANDSTILL_MS)]);
  host.process.resume();
  return await Promise.all(calls);
}

function replicasOf({ world }: TestFleet, role: ReplicaRole): WorldReplica[] {
  return world.readyReplicas().filter(({ standin }) => standin.role === role);
}

/** Asserts that no caller takes a part for the whole response. */
function assertNoPartLooksWhole(results: readonly CallResult[]): void {
  const parts = results.filter((result) =>
    isServed(result) && !isOwnAndComplete(result)
  );
  const share = `${parts.length} of ${results.length}`;
  assert.equal(parts.length, 0, `${share}: ${JSON.stringify(parts[0]?.body)}`);
}

const STREAMS =
  "streams whose replicas start again while their host stands still don't end as complete";
test(STREAMS, knownRed(STREAMS), async () => {
  await withFleet(async (fleet) => {
    const engines = replicasOf(fleet, "decode");
    for (const { standin } of engines) {
      standin.shapeResponse = () => ({ framing: Framing.none });
    }
    const kinds = [CallKind.stream, CallKind.resumable];
    const results = await callWhileStandingStill(fleet, kinds, async () => {
      await Promise.all(
        engines.map((replica) =>
          restartInPlace(fleet.world, replica, replica.softwareVersion)
        ),
      );
    });
    assert.ok(results.some(({ body }) => body !== ""), "no stream had begun");
    assertNoPartLooksWhole(results);
  }, { hosts: HOSTS });
});

const PLAIN =
  "plain responses that are cut while their host stands still don't look whole";
test(PLAIN, knownRed(PLAIN), async () => {
  await withFleet(async (fleet) => {
    let cuts = 0;
    for (const { standin } of replicasOf(fleet, "plain")) {
      standin.slowdown = PLAIN_SLOWDOWN;
      standin.shapeResponse = () => ({
        framing: Framing.none,
        cut: {
          end: ConnectionEnd.fin,
          position: (body) => {
            cuts += 1;
            return Math.floor(body.length / 2);
          },
        },
      });
    }
    const kinds = [CallKind.safe, CallKind.unsafe];
    const results = await callWhileStandingStill(
      fleet,
      kinds,
      () => Promise.resolve(),
    );
    assert.ok(cuts > 0, "no response was cut");
    // The retries of safe requests are cut by a replica that runs on.
    assertNoPartLooksWhole(
      results.filter(({ kind }) => kind === CallKind.unsafe),
    );
  }, { hosts: HOSTS });
});

const SERVED = "whole responses are served by a host that stood still before";
test(SERVED, knownRed(SERVED), async () => {
  await withFleet(async (fleet) => {
    for (const { standin } of fleet.world.readyReplicas()) {
      if (standin.role === "prefill") continue;
      standin.shapeResponse = () => ({ framing: Framing.none });
    }
    const [host] = fleet.hosts;
    assert.ok(host);
    host.process.pause();
    await sleep(STANDSTILL_MS);
    host.process.resume();
    await sleep(RECOVERY_MS);
    const results = await Promise.all(
      Object.values(CallKind).map((kind) => callHost(host, { id: kind, kind })),
    );
    for (const result of results) assert.ok(isOwnAndComplete(result));
  }, { hosts: HOSTS });
});
