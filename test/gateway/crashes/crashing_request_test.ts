/**
 * A request that crashes the replicas that run it is not sent to one after
 * another; what merely ran beside it is served.
 *
 * What was seen: one request, sent again and again by its caller, each time under
 * another id and at another host, ended ten replicas in ten seconds, and with
 * them the answers of all that ran there.
 * How it came about: each try was a new request to its host, which gave it to
 * the next sound replica.
 * The cause: what is known of a request ended with its exchange, and a replica's
 * crash was taken for a connection that broke, one failure of that replica.
 * What proved it: ten tries with the same method, path and body, one send each,
 * at seven hosts; a replica came anew at the address where each of them broke.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { knownRed } from "../../known_red.ts";
import {
  chunk,
  chunkedHead,
  type RawAnswer,
  type RawRequest,
  whole,
} from "../raw_replica.ts";
import { ENGINE, type Rig, type RigReplica, withRig } from "../rig.ts";

const CRASHING = "crashes its replica";
const REPLICAS = 8;
const TRIES = 7;
/** The retry budget never ends a test. */
const BUDGET = { ratio: 0, extra: 1000 };
/** Crashes after which a request is sent to no further replica. */
const MOST_CRASHES = 3;

/** Answers all but the crashing request, which ends the replica. */
function fragile(at: number, rigOf: () => Rig | undefined): RawAnswer {
  return (request, socket) => {
    if (request.body !== CRASHING) {
      const isReserve = request.path === "/reserve";
      const body = isReserve ? '{"reservation":"r"}' : "answer";
      return void socket.write(whole(request, body));
    }
    socket.write(chunkedHead(request) + chunk("id: 0\n\n"), () => {
      rigOf()?.replicas[at]?.stop();
    });
  };
}

/** The listing lacks the replicas that have ended, as after some seconds. */
function delistEnded({ context: { replicas }, replicas: all }: Rig): void {
  const ended = all.filter((one) => one.requests.some(isCrash));
  const addresses = new Set(ended.map((one) => one.address));
  const entries = replicas.entries()
    .filter((one) => !addresses.has(one.address));
  replicas.adopt({ revision: replicas.revision + 1, entries });
}

/** More than a prompt that was read. */
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
    answer: fragile(at, rigOf),
    ...(stage === undefined ? {} : { stage }),
  }));
}

const PLAIN = "a request that crashes its replicas is sent to three at most";
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
      assert.equal(crashesOf(rig), MOST_CRASHES, kind);
    });
  }
});

const STREAM = "a stream that crashes its replicas goes on at two more at most";
test(STREAM, knownRed(STREAM), async () => {
  let rig: Rig | undefined;
  const reads: RawAnswer = (request, socket) => {
    socket.write(whole(request, '{"export":"e"}'));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [
      ...makeReplicas(() => rig, ReplicaStage.decode),
      { answer: reads, stage: ReplicaStage.prefill },
    ],
  }, async (started) => {
    rig = started;
    const headers = { "x-tokens": "10,10" };
    for (let at = 0; at < TRIES; at++) {
      const id = `t${at}`;
      await rig.call({ id, method: "POST", body: CRASHING, headers });
      delistEnded(rig);
    }
    assert.equal(crashesOf(rig), MOST_CRASHES);
  });
});

test("a request whose answers are cut off by sound replicas is tried again", async () => {
  let cuts = 0;
  const cuts6: RawAnswer = (request, socket) => {
    if (cuts++ >= 6) return void socket.write(whole(request, "answer"));
    socket.end(chunkedHead(request) + chunk("part"));
  };
  await withRig({
    route: { kind: "unsafe" },
    replicas: Array.from({ length: REPLICAS }, () => ({ answer: cuts6 })),
  }, async (rig) => {
    const statuses: number[] = [];
    for (let at = 0; at < 7; at++) {
      const seen = await rig.call({ id: `t${at}`, method: "POST", body: "b" });
      statuses.push(seen.status);
    }
    assert.deepEqual(statuses, [502, 502, 502, 502, 502, 502, 200]);
  });
});
