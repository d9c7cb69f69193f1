/** Raw replicas that send notices in their response headers. */
import assert from "node:assert/strict";
import {
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import type { Rig } from "../rig.ts";

/** Large enough that no test exhausts it. */
export const BUDGET = { ratio: 0, extra: 1000 };
/** A backoff longer than any test. */
export const LONG_BACKOFF_MS = 60_000;

/** Whether the host itself made the call, for a reservation or an export. */
export const isHostCall = ({ path }: RawRequest) =>
  /^.(reserve|export)/.test(path);

/** Answers reservation and export calls, and passes requests to `answer`. */
export function answersEngineCalls(answer: RawAnswer): RawAnswer {
  return (request, socket) => {
    if (!isHostCall(request)) return answer(request, socket);
    socket.write(completeResponse(request, '{"reservation":"r"}'));
  };
}

/** Rejects a request and requests a backoff. */
export function rejectsWithBackoff(
  forMs: number | string,
  extra = ["x-not-run: 1"],
) {
  const answer: RawAnswer = (request, socket) => {
    const text = completeResponse(request, "", [
      ...extra,
      `x-backoff: ${forMs}`,
    ]);
    socket.write(text.replace("200 OK", "503 Full"));
  };
  return answer;
}

/** Answers all calls with success. */
export const healthy: RawAnswer = answersEngineCalls((request, socket) => {
  socket.write(completeResponse(request, "answer"));
});

/** Counts the callers' requests that a replica received. */
export function requestsAt({ replicas }: Rig, at: number): number {
  const all = replicas[at]?.requests ?? [];
  return all.filter((request) => !isHostCall(request)).length;
}

/** Sends requests one after the other and returns their statuses. */
export async function statuses(
  rig: Rig,
  count: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<number[]> {
  const received: number[] = [];
  for (let at = 0; at < count; at++) {
    const call = { id: `r${at}`, method: "POST", headers };
    received.push((await rig.call(call)).status);
  }
  return received;
}

/** Asserts that the host backs off from a replica and counts no failure. */
export function assertBacksOff({ context }: Rig, id: string): void {
  const replica = context.replicas.get(id);
  assert.ok(replica);
  assert.equal(context.gate.obstacle(replica)?.type, "backoff");
  assert.equal(replica.failures, 0);
  assert.equal(replica.isPaused(context.clock.now()), false);
}
