/** Sends a request to a replica and says what is certain afterwards. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { CallHead } from "../port.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Replica } from "../replicas/replica.ts";
import type { Obstacle } from "../replicas/replica_gate.ts";
import type { Answer, Call, CallOutcome } from "../upstreams/call.ts";
import type { GatewayRequest } from "./request.ts";

/** Statuses that promise that nothing ran; a replica must say so itself. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Part of a replica's connections that the fleet uses. */
const CONNECTION_SHARE = 0.8;

/** How a send went, up to the head of the answer. */
export type SendResult =
  | { readonly type: "answer"; readonly answer: Answer }
  /** It did not run at the replica and will not. */
  | {
    readonly type: "notRun";
    readonly reason: string;
    /** The replica itself said so, and it is the one that was meant. */
    readonly turnedAway: boolean;
    /** It reached the replica: the send counts against the retry budget. */
    readonly arrived: boolean;
    /** The replica asks this host for a pause: it has not failed. */
    readonly isBackoff: boolean;
  }
  /** It may have run. */
  | { readonly type: "unknown"; readonly reason: string }
  /** It was not sent: the replica takes nothing of this host now. */
  | { readonly type: "closed"; readonly obstacle: Obstacle };

/** A send under way. */
export type Sending = {
  readonly result: Promise<SendResult>;
  abort(reason: string): void;
};

/** How a request is sent. */
export type SendOptions = {
  readonly head: CallHead;
  /** The replica takes one more request. */
  readonly permit: SendPermit;
  /** Without an answer's head by then, the call is ended. */
  readonly timeoutMs?: Milliseconds;
};

/** Sends a request, or its prompt alone, to a replica: the only way there. */
export function sendRequest(
  context: GatewayContext,
  request: GatewayRequest,
  replica: Replica,
  { head, permit, timeoutMs }: SendOptions,
): Sending {
  // The request may have waited since its replica was chosen: only what is known
  // now keeps new work from one that leaves, or that wants nothing from this host.
  const obstacle = context.gate.obstacle(replica);
  if (obstacle) {
    permit.giveBack();
    const result = Promise.resolve({ type: "closed", obstacle } as const);
    return { result, abort: () => undefined };
  }
  permit.use();
  context.gate.noteSend(replica.entry);
  const call = context.pool.send({
    address: replica.entry.address,
    incarnation: replica.entry.incarnation,
    method: request.method,
    path: request.target,
    headers: context.dialect.callHeaders(request.rawHeaders, {
      ...head,
      ...(request.customer ? { customer: request.customer.name } : {}),
    }),
    body: request.body,
    mostConnections: connectionShare(
      context.routes.service(request.service)?.connectionLimit ?? 0,
      context.hostCount(),
    ),
    // It may wait for a connection, too.
    mayGo: () => context.gate.obstacle(replica) === undefined,
  });
  replica.calls += 1;
  const sentAt = context.clock.now();
  replica.noteTry(sentAt);
  const cancel = timeoutMs === undefined
    ? () => undefined
    : context.clock.after(timeoutMs, () => call.abort("No answer in time"));
  const sent = { call, sentAt };
  const result = resultOf(context, request, replica, sent).finally(() => {
    cancel();
    replica.calls -= 1;
  });
  return { result, abort: (reason) => call.abort(reason) };
}

/** Whether another replica could take a request in the stead of `entry`. */
export function hasOtherReplica(
  { replicas, gate }: GatewayContext,
  { service }: GatewayRequest,
  { entry, excluded }: {
    readonly entry: ReplicaEntry;
    readonly excluded: ReadonlySet<string>;
  },
): boolean {
  const { stage, incarnation } = entry;
  return replicas.openOf(service).some((one) => {
    const { entry: other } = one;
    return other.stage === stage && other.incarnation !== incarnation &&
      !excluded.has(other.incarnation) && !gate.obstacle(one);
  });
}

/**
 * A host's part of the connections that a replica takes of all hosts together;
 * one at least, or it could send nothing. The parts add up to no more than the
 * limit while there are no more hosts than connections.
 */
export function connectionShare(limit: number, hosts: number): number {
  const share = limit * CONNECTION_SHARE / Math.max(1, hosts);
  return Math.max(1, Math.floor(share));
}

async function resultOf(
  context: GatewayContext,
  request: GatewayRequest,
  replica: Replica,
  { call, sentAt }: { readonly call: Call; readonly sentAt: Milliseconds },
): Promise<SendResult> {
  const outcome = await call.outcome;
  if (outcome.type === "notSent") return notSent(context, replica, outcome);
  if (outcome.type === "broken") {
    const severe = outcome.reason === "No answer in time";
    noteFailure(context, replica, { reason: outcome.reason, severe });
    if (!outcome.isStale) {
      noteBreak(context, request, replica, !outcome.isAborted);
    }
    return { type: "unknown", reason: outcome.reason };
  }
  const { answer } = outcome;
  const { message } = answer;
  const now = context.clock.now();
  const status = message.statusCode ?? 0;
  const facts = context.dialect.readAnswer(status, message.headers);
  const isOwn = belongs(request, status, facts.id);
  if (!facts.misdirected) {
    const { incarnation } = replica.entry;
    const answered = { sentAt, request: request.facts.id };
    if (isOwn) context.gate.hear(incarnation, facts, answered);
    // It tells of its replica too, but nobody knows when it was made.
    else context.gate.hearCall(incarnation, facts, answered);
  }
  if (!isOwn) {
    call.abort("An answer to another request");
    context.events.note("crossed", {
      request: request.facts.id,
      replica: replica.entry.incarnation,
      answer_to: facts.id,
    });
    return { type: "unknown", reason: "An answer to another request" };
  }
  if (facts.notRun) {
    message.resume();
    if (facts.misdirected) replica.noteFailure(now, true);
    const turnedAway = !facts.misdirected;
    const reason = `Status ${status}`;
    const { backoff } = facts;
    const isBackoff = turnedAway && backoff.type === "backoff" &&
      backoff.forMs > 0;
    return { type: "notRun", reason, turnedAway, arrived: true, isBackoff };
  }
  if (PROMISES.has(status)) {
    message.resume();
    return { type: "unknown", reason: `Status ${status}` };
  }
  if (status >= 500) replica.noteFailure(now, false);
  else replica.noteSuccess();
  return { type: "answer", answer };
}

/** No byte of it reached the replica. */
function notSent(
  context: GatewayContext,
  replica: Replica,
  { reason, isRefused, isWithheld }: Extract<CallOutcome, { type: "notSent" }>,
): SendResult {
  if (isWithheld) {
    const obstacle = context.gate.obstacle(replica) ?? { type: "leaving" };
    return { type: "closed", obstacle };
  }
  noteFailure(context, replica, { reason, severe: true });
  if (isRefused) context.crashes.refused(replica.entry);
  return {
    type: "notRun",
    reason,
    turnedAway: false,
    arrived: false,
    isBackoff: false,
  };
}

/** The request's answer ended early; `isByReplica`: not by this host. */
export function noteBreak(
  { crashes }: GatewayContext,
  { fingerprint }: GatewayRequest,
  { entry }: Replica,
  isByReplica: boolean,
): void {
  crashes.sendBroke(entry, { fingerprint, isByReplica });
}

/** Successes name their request; a failure may come without a name. */
function belongs(
  request: GatewayRequest,
  status: number,
  id: string | undefined,
): boolean {
  if (id === undefined) return status >= 400;
  return id === request.facts.id;
}

function noteFailure(
  context: GatewayContext,
  replica: Replica,
  failure: { readonly reason: string; readonly severe: boolean },
): void {
  if (failure.reason === "The request ended") return;
  const now = context.clock.now();
  const before = replica.paused(now);
  replica.noteFailure(now, failure.severe);
  if (before || !replica.paused(now)) return;
  context.events.note("replicaPaused", {
    replica: replica.entry.incarnation,
    address: replica.entry.address,
    reason: failure.reason,
    failures: replica.failures,
  });
}
