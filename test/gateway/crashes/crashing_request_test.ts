/**
 * A caller's retries of a request that crashes replicas must not crash one
 * replica after another, and concurrent requests must still be served.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { knownRed } from "../../known_red.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { ENGINE, type Rig, type RigReplica, withRig } from "../rig.ts";

const CRASHING = "crashes its replica";
const REPLICAS = 8;
const TRIES = 7;
/** A retry budget that is never exhausted. */
const BUDGET = { ratio: 0, extra: 1000 };
/** Number of crashes after which a request is quarantined. */
const MAX_CRASHES = 3;

/** Responds to all requests but the crashing one, which stops the replica. */
function crashingAnswer(at: number, rigOf: () => Rig | undefined): RawAnswer {
  return (request, socket) => {
    if (request.body !== CRASHING) {
      const isReserve = request.path === "/reserve";
      const body = isReserve ? '{"reservation":"r"}' : "answer";
      return void socket.write(completeResponse(request, body));
    }
    socket.write(chunkedHeaders(request) + chunk("id: 0\n\n"), () => {
      rigOf()?.replicas[at]?.stop();
    });
  };
}

/**
 * Removes crashed replicas from the listing, as the platform does after some
 * seconds.
 */
function unlistCrashed({ context: { replicas }, replicas: all }: Rig): void {
  const crashed = all.filter((replica) => replica.requests.some(isCrash));
  const addresses = new Set(crashed.map((replica) => replica.address));
  const entries = replicas.entries()
    .filter((entry) => !addresses.has(entry.address));
  replicas.adopt({ revision: replicas.revision + 1, entries });
}

/** Whether the request crashes its replica; a prefill alone doesn't. */
function isCrash({ body, headers }: RawRequest): boolean {
  return body === CRASHING && headers.get("x-mode") !== "prefill";
}

function crashesOf({ replicas }: Rig): number {
  return replicas.filter(({ requests }) => requests.some(isCrash)).length;
}

function makeReplicas(
  rigOf: () => Rig | undefined,
  stage?: ReplicaStage,
): RigReplica[] {
  return Array.from({ length: REPLICAS }, (_, at) => ({
    answer: crashingAnswer(at, rigOf),
    ...(stage === undefined ? {} : { stage }),
  }));
}

const PLAIN = "a request that crashes its replicas is sent to at most three";
test(PLAIN, knownRed(PLAIN), async () => {
  for (const kind of ["unsafe", "safe"] as const) {
    let rig: Rig | undefined;
    await withRig({
      route: { kind, attempts: 4 },
      budget: BUDGET,
      replicas: makeReplicas(() => rig),
    }, async (started) => {
      rig = started;
      for (let at = 0; at < TRIES; at++) {
        await rig.call({ id: `t${at}`, method: "POST", body: CRASHING });
        const other = { id: `o${at}`, method: "POST", body: `other ${at}` };
        assert.equal((await rig.call(other)).status, 200);
      }
      assert.equal(crashesOf(rig), MAX_CRASHES, kind);
    });
  }
});

const STREAM = "a stream that crashes its replicas is resumed at most twice";
test(STREAM, knownRed(STREAM), async () => {
  let rig: Rig | undefined;
  const prefills: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, '{"export":"e"}'));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [
      ...makeReplicas(() => rig, ReplicaStage.decode),
      { answer: prefills, stage: ReplicaStage.prefill },
    ],
  }, async (started) => {
    rig = started;
    const headers = { "x-tokens": "10,10" };
    for (let at = 0; at < TRIES; at++) {
      const id = `t${at}`;
      await rig.call({ id, method: "POST", body: CRASHING, headers });
      unlistCrashed(rig);
    }
    assert.equal(crashesOf(rig), MAX_CRASHES);
  });
});

test("truncated responses of healthy replicas don't quarantine a request", async () => {
  let truncated = 0;
  const truncatesSix: RawAnswer = (request, socket) => {
    if (truncated++ >= 6) {
      return void socket.write(completeResponse(request, "answer"));
    }
    socket.end(chunkedHeaders(request) + chunk("part"));
  };
  await withRig({
    route: { kind: "unsafe" },
    replicas: Array.from(
      { length: REPLICAS },
      () => ({ answer: truncatesSix }),
    ),
  }, async (rig) => {
    const statuses: number[] = [];
    for (let at = 0; at < 7; at++) {
      const response = await rig.call({
        id: `t${at}`,
        method: "POST",
        body: "b",
      });
      statuses.push(response.status);
    }
    assert.deepEqual(statuses, [502, 502, 502, 502, 502, 502, 200]);
  });
});
