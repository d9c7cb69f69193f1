/** Replicas that say something of themselves, and what came to them. */
import assert from "node:assert/strict";
import { type RawAnswer, type RawRequest, whole } from "../raw_replica.ts";
import type { Rig } from "../rig.ts";

/** The retry budget never ends a test. */
export const BUDGET = { ratio: 0, extra: 1000 };
/** Longer than any test. */
export const LONG_MS = 60_000;

/** Calls of the host's own: memory, and finished prefills. */
export const isOwnCall = ({ path }: RawRequest) =>
  /^.(reserve|export)/.test(path);

/** Answers calls of the host's own, and requests with `answer`. */
export function engine(answer: RawAnswer): RawAnswer {
  return (request, socket) => {
    if (!isOwnCall(request)) return answer(request, socket);
    socket.write(whole(request, '{"reservation":"r"}'));
  };
}

/** Turns a request away and asks for a pause. */
export function turnsAway(forMs: number | string, extra = ["x-not-run: 1"]) {
  const answer: RawAnswer = (request, socket) => {
    const head = whole(request, "", [...extra, `x-backoff: ${forMs}`]);
    socket.write(head.replace("200 OK", "503 Full"));
  };
  return answer;
}

/** Answers as it should. */
export const sound: RawAnswer = engine((request, socket) => {
  socket.write(whole(request, "answer"));
});

/** Requests of callers that came to a replica. */
export function requestsAt({ replicas }: Rig, at: number): number {
  const all = replicas[at]?.requests ?? [];
  return all.filter((one) => !isOwnCall(one)).length;
}

/** Sends requests one after the other. */
export async function statuses(
  rig: Rig,
  count: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<number[]> {
  const seen: number[] = [];
  for (let at = 0; at < count; at++) {
    const call = { id: `r${at}`, method: "POST", headers };
    seen.push((await rig.call(call)).status);
  }
  return seen;
}

/** It is left alone, and not held to have failed. */
export function checkAlone({ context }: Rig, id: string): void {
  const replica = context.replicas.get(id);
  assert.ok(replica);
  assert.equal(context.gate.obstacle(replica)?.type, "backoff");
  assert.equal(replica.failures, 0);
  assert.equal(replica.paused(context.clock.now()), false);
}
