/** Sends a request to a replica and reports whether it may have run. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { AnswerMetadata, CallMetadata } from "../port.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type { EventFields } from "../observe/event_log.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Replica } from "../replicas/replica.ts";
import {
  hasRequiredVersion,
  type RequiredVersion,
} from "../replicas/required_version.ts";
import type { Obstacle } from "../replicas/replica_gate.ts";
import {
  type Answer,
  type Call,
  type CallOutcome,
  NotSentCause,
} from "../upstreams/call.ts";
import { noteInterruption } from "./note_interruption.ts";
import { recordSend } from "./replica_sends.ts";
import { connectionShare } from "../upstreams/connection_share.ts";
import { discardBody } from "../upstreams/discard_body.ts";
import { isOwnResponse } from "../upstreams/own_response.ts";
import type { GatewayRequest } from "./request.ts";

/**
 * Statuses that usually mean that the request did not run. Unless the replica
 * states so explicitly, the outcome is treated as unknown.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Reasons for which this host aborts a call without a failure. */
export const AbortReason = {
  requestEnded: "The request ended",
  overtaken: "Another attempt was faster",
} as const;
const NO_ANSWER = "No answer in time";
const NO_FAILURES: ReadonlySet<string> = new Set(Object.values(AbortReason));

/** The result of a send, up to the headers of the response. */
export type SendResult =
  | { readonly type: "answer"; readonly answer: Answer }
  /** The request did not run at the replica and never will. */
  | {
    readonly type: "notRun";
    readonly reason: string;
    /** The intended replica responded that it did not run the request. */
    readonly rejected: boolean;
    /** It reached the replica, so it counts towards the retry budget. */
    readonly arrived: boolean;
    /** The replica requested a backoff, which is not a failure. */
    readonly isBackoff: boolean;
    /** As in {@link PlacementFailure}. */
    readonly isLocal: boolean;
  }
  /** The request may have run. */
  | {
    readonly type: "unknown";
    readonly reason: string;
    /** As in {@link PlacementFailure}. */
    readonly isLocal: boolean;
  }
  /** Not sent: the replica is closed to this host at present. */
  | { readonly type: "closed"; readonly obstacle: Obstacle };

/** A send in progress. */
export type Sending = {
  readonly result: Promise<SendResult>;
  abort(reason: string): void;
  /** False while it waits for a connection, and if it was not sent. */
  hasStarted(): boolean;
};

/** Options of {@link sendRequest}. */
export type SendOptions = {
  readonly headers: CallMetadata;
  /** Used when the request is sent, released otherwise. */
  readonly permit: SendPermit;
  /** Aborts the call if no response headers arrive within this time. */
  readonly timeoutMs?: Milliseconds;
  /** Asked when that time is over; if false, the call goes on. */
  readonly mayTimeOut?: (reason: string) => boolean;
  /** Whether the call is aborted if the path to the replica is lost. */
  readonly isRepeatable: boolean;
  /** Asked once a connection is available; true by default. */
  readonly mayStart?: () => boolean;
  /** An error response says nothing about the replica. */
  readonly ignoresErrors?: boolean;
};

/** Sends a request or its prefill; all sends to replicas use this function. */
export function sendRequest(
  context: GatewayContext,
  request: GatewayRequest,
  replica: Replica,
  options: SendOptions,
): Sending {
  const { headers, permit, timeoutMs, isRepeatable, ignoresErrors } = options;
  const { mayStart = () => true } = options;
  // The request may have waited since its replica was chosen, and the replica
  // may have started to drain or to back off in the meantime.
  const obstacle = context.gate.obstacle(replica);
  if (obstacle) {
    permit.release();
    const result = Promise.resolve({ type: "closed", obstacle } as const);
    return { result, abort: () => undefined, hasStarted: () => false };
  }
  permit.use();
  let hasStarted = false;
  context.gate.noteSend(replica.entry);
  const call = context.pool.send({
    entry: replica.entry,
    isResend: recordSend(request, replica.entry.incarnation),
    isRepeatable,
    method: request.method,
    path: request.target,
    id: request.facts.id,
    headers: context.dialect.callHeaders(request.rawHeaders, {
      ...headers,
      ...(request.customer ? { customer: request.customer.name } : {}),
    }),
    body: request.body,
    maxConnections: connectionShare(
      context.routes.service(request.service)?.connectionLimit ?? 0,
      context.hostCount(),
    ),
    // Checked again once a connection is available.
    maySend: () => {
      hasStarted = context.gate.obstacle(replica) === undefined && mayStart();
      return hasStarted;
    },
  });
  replica.activeCalls += 1;
  const sentAt = context.clock.now();
  replica.noteTrial(sentAt);
  const cancelTimeout = timeoutMs === undefined
    ? () => undefined
    : context.clock.after(timeoutMs, () => {
      if (options.mayTimeOut?.(NO_ANSWER) ?? true) call.abort(NO_ANSWER);
    });
  const sent = { call, sentAt, ignoresErrors };
  const result = resultOf(context, request, replica, sent).finally(() => {
    cancelTimeout();
    replica.activeCalls -= 1;
  });
  return {
    result,
    abort: (reason) => call.abort(reason),
    hasStarted: () => hasStarted,
  };
}

/** Whether another replica could serve the request instead of `entry`. */
export function hasOtherReplica(
  { replicas, gate }: GatewayContext,
  { service }: GatewayRequest,
  { entry, excluded, requiredVersion }: {
    readonly entry: ReplicaEntry;
    readonly excluded: ReadonlySet<string>;
    readonly requiredVersion?: RequiredVersion | undefined;
  },
): boolean {
  const { stage, incarnation } = entry;
  return replicas.openReplicasOf(service).some((replica) => {
    const { entry: other } = replica;
    return other.stage === stage && other.incarnation !== incarnation &&
      hasRequiredVersion(other, requiredVersion) &&
      !excluded.has(other.incarnation) && !gate.obstacle(replica);
  });
}

/** A call that was started. */
type Sent = {
  readonly call: Call;
  readonly sentAt: Milliseconds;
  readonly ignoresErrors: boolean | undefined;
};

async function resultOf(
  context: GatewayContext,
  request: GatewayRequest,
  replica: Replica,
  { call, sentAt, ignoresErrors }: Sent,
): Promise<SendResult> {
  const outcome = await call.outcome;
  if (outcome.type === "notSent") return notSent(context, replica, outcome);
  if (outcome.type === "broken") {
    return brokenResult(context, request, replica, { ...outcome, sentAt });
  }
  const { answer } = outcome;
  const { message } = answer;
  const now = context.clock.now();
  const status = message.statusCode ?? 0;
  const facts = context.dialect.readAnswer(status, message.headers);
  const origin = { status, ...facts, carried: answer.carried };
  const isMatching = isOwnResponse(request.facts.id, origin);
  if (!facts.misdirected) {
    const { incarnation } = replica.entry;
    const answered = { sentAt, request: request.facts.id };
    if (isMatching) context.gate.observe(incarnation, facts, answered);
    // The notices are valid for the replica, but may be old.
    else context.gate.observeCall(incarnation, facts, answered);
  }
  if (!isMatching) {
    call.abort("An answer to another request");
    context.metrics.count("responses_crossed");
    context.events.note("crossed", {
      ...responseFields(request, replica, answer),
      answer_to: facts.id,
    });
    const reason = "An answer to another request";
    return { type: "unknown", reason, isLocal: false };
  }
  if (facts.notRun) {
    discardBody(answer, context.clock);
    context.events.note("rejected", {
      ...responseFields(request, replica, answer),
      names_request: facts.id !== undefined,
    });
    if (facts.misdirected) replica.noteFailure(now, true);
    return rejectedResult(status, facts);
  }
  if (NOT_RUN_STATUSES.has(status)) {
    discardBody(answer, context.clock);
    return { type: "unknown", reason: `Status ${status}`, isLocal: false };
  }
  if (status < 500) replica.noteSuccess();
  else if (!ignoresErrors) replica.noteFailure(now, false);
  return { type: "answer", answer };
}

/** The replica responded that the request did not run. */
function rejectedResult(
  status: number,
  { misdirected, backoff }: AnswerMetadata,
): SendResult {
  const rejected = !misdirected;
  const isBackoff = rejected && backoff.type === "backoff" && backoff.forMs > 0;
  return {
    type: "notRun",
    reason: `Status ${status}`,
    rejected,
    arrived: true,
    isBackoff,
    isLocal: false,
  };
}

/** What tells whose response it is: its connection, and what that carried. */
function responseFields(
  { facts }: GatewayRequest,
  { entry }: Replica,
  { message, carried }: Answer,
): EventFields {
  return {
    request: facts.id,
    replica: entry.incarnation,
    status: message.statusCode,
    connection: carried.connection,
    carried: carried.count,
  };
}

/** Handles a call that was sent, but not answered. */
function brokenResult(
  context: GatewayContext,
  request: GatewayRequest,
  replica: Replica,
  outcome: Extract<CallOutcome, { type: "broken" }> & Pick<Sent, "sentAt">,
): SendResult {
  const { reason, isAborted, isStale, sentAt } = outcome;
  const { incarnation } = replica.entry;
  const isLocal = isAborted && context.paths.monitor.isLost(incarnation);
  // Its end interrupts no request, and is a sign all the same.
  if (isStale && !isAborted) context.starts.noteEnd(replica.entry);
  const severe = reason === NO_ANSWER;
  if (!isLocal) noteFailure(context, replica, { reason, severe });
  if (!isLocal && !isStale) {
    const endedByReplica = !isAborted;
    noteInterruption(context, request, replica, { sentAt, endedByReplica });
  }
  return { type: "unknown", reason, isLocal };
}

/** Handles a call of which no byte reached the replica. */
function notSent(
  context: GatewayContext,
  replica: Replica,
  outcome: Extract<CallOutcome, { type: "notSent" }>,
): SendResult {
  const { reason, cause, isLocal = false } = outcome;
  if (cause === NotSentCause.withheld) {
    const obstacle = context.gate.obstacle(replica) ?? { type: "leaving" };
    return { type: "closed", obstacle };
  }
  if (cause !== NotSentCause.invalid && cause !== NotSentCause.queued) {
    noteFailure(context, replica, { reason, severe: true });
  }
  if (cause === NotSentCause.refused) {
    context.starts.noteEnd(replica.entry);
    context.crashes.noteRefused(replica.entry);
  }
  return {
    type: "notRun",
    reason,
    rejected: false,
    arrived: false,
    isBackoff: false,
    isLocal,
  };
}

function noteFailure(
  context: GatewayContext,
  replica: Replica,
  failure: { readonly reason: string; readonly severe: boolean },
): void {
  if (NO_FAILURES.has(failure.reason)) return;
  const now = context.clock.now();
  const wasPaused = replica.isPaused(now);
  replica.noteFailure(now, failure.severe);
  if (wasPaused || !replica.isPaused(now)) return;
  context.events.note("replicaPaused", {
    replica: replica.entry.incarnation,
    address: replica.entry.address,
    reason: failure.reason,
    failures: replica.failures,
  });
}
