/** Compares what a caller received with what it sent. */
import { bodyOf } from "./caller_bytes.ts";
import {
  type ConnectionPlan,
  ReplicaBehavior,
  type ValidRequest,
} from "./caller_plan.ts";
import type { PlayedConnection } from "./play_connection.ts";
import { type ReadResponse, readResponses } from "./read_responses.ts";
import type { RawRequest } from "../gateway/raw_replica.ts";

/** The faults of one connection; none if it went as it has to. */
export function checkConnection(
  plan: ConnectionPlan,
  played: PlayedConnection,
  idOf: (index: number) => string,
): string[] {
  const isCut = plan.ending !== "kept" || plan.writtenShare < 1;
  const read = readResponses(played.text, played.isClosed);
  if (read.type === "fault") return [read.reason];
  if (plan.mutations.length > 0) return [];
  const faults = read.responses.flatMap((response, index) =>
    responseFaults(plan, response, { index, id: idOf(index) })
  );
  const complete = read.responses.filter(({ isComplete }) => isComplete);
  const isHanging = !isCut && !played.isClosed &&
    complete.length < plan.requests.length;
  if (isHanging) faults.push(`only ${complete.length} responses, and open`);
  const missing = isCut ? 0 : expectedCount(plan) - complete.length;
  if (missing > 0) faults.push(`${missing} responses are missing`);
  return faults;
}

/** Requests before the first that may close its connection, and that one. */
function expectedCount({ requests }: ConnectionPlan): number {
  const closing = requests.findIndex((request) =>
    request.type === "malformed" ||
    request.behavior === ReplicaBehavior.cutOff
  );
  return closing < 0 ? requests.length : closing;
}

function responseFaults(
  { requests }: ConnectionPlan,
  { status, id, isComplete, body }: ReadResponse,
  expected: { readonly index: number; readonly id: string },
): string[] {
  const request = requests[expected.index];
  const name = `response ${expected.index} (${status})`;
  if (request === undefined) return [`${name} answers nothing`];
  if (request.type === "malformed") {
    const isRefused = status >= 400 && status < 500;
    return isRefused ? [] : [`${name} to a malformed request`];
  }
  if (id === undefined && status < 400) return [`${name} without an id`];
  if (id === undefined) {
    return body.includes("error") ? [] : [`${name}: ${body}`];
  }
  if (id !== expected.id) return [`${name} is the one to ${id}`];
  const mayBeCut = request.behavior === ReplicaBehavior.cutOff;
  if (isComplete && mayBeCut) return [`${name} looks whole and is not`];
  return [];
}

/** Requests at the replica that no caller sent, or not so. */
export function checkReplica(
  received: readonly RawRequest[],
  plans: readonly ConnectionPlan[],
  idOf: (plan: number, index: number) => string,
): string[] {
  const sent = new Map<string, ValidRequest>();
  const known = new Set<string>();
  plans.forEach(({ requests, mutations }, plan) => {
    if (mutations.length > 0) return;
    for (const index of requests.keys()) known.add(idOf(plan, index));
    for (const [index, request] of requests.entries()) {
      if (request.type === "valid") sent.set(idOf(plan, index), request);
      else if (!request.isFramed) break;
    }
  });
  const isAnyChanged = plans.some(({ mutations }) => mutations.length > 0);
  return received.flatMap(({ headers, body }) => {
    const id = headers.get("x-id") ?? "";
    const request = sent.get(id);
    sent.delete(id);
    if (request) return body === bodyOf(request) ? [] : [`body of "${id}"`];
    // Mutations may have changed an id, or made a request of a body.
    if (isAnyChanged && !known.has(id)) return [];
    return [`a replica got "${id}" unasked`];
  });
}
