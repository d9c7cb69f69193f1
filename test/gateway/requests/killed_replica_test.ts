/**
 * Replicas that are killed (SIGKILL) behind a part of a response without framing.
 * Guards against parts that reach callers as whole responses.
 */
import assert from "node:assert/strict";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { callRaw, SeenEnding, type SeenResponse } from "../raw_caller.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { startRig } from "../rig.ts";

const MAIN = new URL("partial_replica_main.js", import.meta.url).pathname;
const PART = "a part of the body";
const WHOLE = "the whole body";
/** Lets the gateway read the part before the process ends. */
const AFTER_READ_MS = 50;

type Message = { readonly type: "listens" | "sent"; readonly address?: string };

/** A replica in a process of its own. */
type KilledReplica = {
  readonly address: string;
  /** Resolves once the replica has sent its part. */
  readonly sent: Promise<unknown>;
  /** Kills the process and resolves with the signal that ended it. */
  kill(): Promise<unknown>;
};

async function startReplica(): Promise<KilledReplica> {
  const child: ChildProcess = fork(MAIN, [PART]);
  const ended = once(child, "exit").then(([, signal]) => signal as unknown);
  const [{ address = "" }] = await once(child, "message") as [Message];
  return {
    address,
    sent: once(child, "message"),
    kill: () => {
      child.kill("SIGKILL");
      return ended;
    },
  };
}

const answerWhole: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, WHOLE));
};

/** Calls a host whose only replica is killed while a sound one is added. */
async function callKilled(
  route: { readonly kind: RouteKind; readonly attempts: number },
): Promise<SeenResponse> {
  const replica = await startReplica();
  const rig = await startRig({ route, replicas: [{ answer: answerWhole }] });
  const { replicas } = rig.context;
  const [sound] = replicas.entries();
  assert.ok(sound);
  const { address } = replica;
  const killed = { ...sound, id: "killed", incarnation: "killed", address };
  replicas.adopt({ revision: 2, entries: [killed] });
  try {
    const response = callRaw(rig.address);
    await replica.sent;
    replicas.adopt({ revision: 3, entries: [killed, sound] });
    await new Promise((resolve) => setTimeout(resolve, AFTER_READ_MS));
    assert.equal(await replica.kill(), "SIGKILL");
    return await response;
  } finally {
    rig.stop();
    await replica.kill();
  }
}

test("a safe request is served whole when its replica is killed behind a part", async () => {
  const route = { kind: RouteKind.safe, attempts: 2 };
  const { status, body, ending } = await callKilled(route);
  assert.deepEqual(
    [status, body, ending],
    [200, WHOLE, SeenEnding.complete],
  );
});

test("an unsafe request gets no part as its response when its replica is killed", async () => {
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  const { status, body } = await callKilled(route);
  assert.equal(status, 502);
  assert.ok(!body.includes(PART));
});
