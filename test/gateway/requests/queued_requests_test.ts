/**
 * Guards against a surplus response that is taken for the response to a request
 * that waited for its connection: callers got 503 for requests that ran, and some
 * requests ran at two replicas.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { knownRed } from "../../known_red.ts";
import {
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const BUDGET = { ratio: 0, extra: 1000 };
/** Each host gets a single connection. */
const CONNECTION_LIMIT = 1;
const CALLS = 12;

/** An error that names no request. */
function errorResponse(
  status: number,
  headers: readonly string[] = [],
): string {
  const lines = [`HTTP/1.1 ${status} Error`, ...headers, "content-length: 0"];
  return [...lines, "", ""].join("\r\n");
}

/**
 * Runs all requests, and sends a surplus response when a connection's second
 * request arrives.
 */
function runsAfter(surplus: string): RawAnswer {
  const counts = new WeakMap<Socket, number>();
  return (request, socket) => {
    const count = (counts.get(socket) ?? 0) + 1;
    counts.set(socket, count);
    if (count === 2) socket.write(surplus);
    socket.write(completeResponse(request, "own"));
  };
}

/** Sends the response to a request again when its connection's next one arrives. */
function answersTwice(bodyOf: (request: RawRequest) => string): RawAnswer {
  const last = new WeakMap<Socket, string>();
  return (request, socket) => {
    const text = completeResponse(request, bodyOf(request));
    socket.write((last.get(socket) ?? "") + text);
    last.set(socket, text);
  };
}

/** The ids of the requests that replicas received, with repetitions. */
function runsOf({ replicas }: Rig): string[] {
  return replicas.flatMap(({ requests }) =>
    requests.map(({ headers }) => headers.get("x-id") ?? "")
  );
}

/** Sends requests that have to wait for each other, to two replicas. */
async function withQueuedCalls(
  surplus: string,
  check: (statuses: ReadonlyMap<string, number>, rig: Rig) => void,
): Promise<void> {
  const answer = runsAfter(surplus);
  await withRig({
    budget: BUDGET,
    connectionLimit: CONNECTION_LIMIT,
    route: { kind: RouteKind.unsafe, attempts: 1 },
    replicas: [{ answer }, { answer }],
  }, async (rig) => {
    const ids = Array.from({ length: CALLS }, (_, at) => `request-${at}`);
    const statuses = new Map<string, number>();
    await Promise.all(ids.map(async (id) => {
      const { status } = await rig.call({ id, method: "POST" });
      statuses.set(id, status);
    }));
    check(statuses, rig);
  });
}

const REFUSED =
  "a request that waited for its connection isn't refused after it has run";
test(REFUSED, knownRed(REFUSED), async () => {
  const refusal = errorResponse(503, ["x-not-run: 1"]);
  await withQueuedCalls(refusal, (statuses, rig) => {
    const runs = runsOf(rig);
    const untrue = runs.filter((id) => statuses.get(id) === 503);
    assert.deepEqual(untrue, []);
    assert.equal(new Set(runs).size, runs.length, "A request ran twice");
  });
});

const NOT_FOUND =
  "a request that waited for its connection doesn't get the error of another one";
test(NOT_FOUND, knownRed(NOT_FOUND), async () => {
  await withQueuedCalls(errorResponse(404), (statuses) => {
    const wrong = [...statuses].filter(([, status]) => status === 404);
    assert.deepEqual(wrong, []);
  });
});

const SAME_ID =
  "a second request with the id of an earlier one doesn't get that one's response";
test(SAME_ID, knownRed(SAME_ID), async () => {
  const answer = answersTwice(({ path }) => path);
  await withRig({
    budget: BUDGET,
    connectionLimit: CONNECTION_LIMIT,
    route: { kind: RouteKind.unsafe, attempts: 1 },
    replicas: [{ answer }],
  }, async (rig) => {
    const first = await rig.call({ id: "same", path: "/a/first" });
    assert.deepEqual([first.status, first.body], [200, "/a/first"]);
    const second = await rig.call({ id: "same", path: "/a/second" });
    assert.deepEqual([second.status, second.body], [200, "/a/second"]);
  });
});
