/**
 * Forwards the response of a streaming route in memory, without sockets: the
 * relay, the log record and the measurement of the run.
 */
import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import { type Clock, systemClock } from "../../../src/gateway/clock.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { CrashWatch } from "../../../src/gateway/crashes/crash_watch.ts";
import { ByteBudget } from "../../../src/gateway/memory/byte_budget.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import type { PlannerClient } from "../../../src/gateway/planning/planner_client.ts";
import type { Attempts } from "../../../src/gateway/requests/attempts.ts";
import type { Placer } from "../../../src/gateway/requests/placement.ts";
import type { EventPosition } from "../../../src/gateway/requests/relay.ts";
import type { RelayOutcome } from "../../../src/gateway/requests/relay_outcome.ts";
import { relayToCaller } from "../../../src/gateway/requests/relay_to_caller.ts";
import { ReplyWriter } from "../../../src/gateway/requests/reply_writer.ts";
import type {
  GatewayRequest,
  Reply,
} from "../../../src/gateway/requests/request.ts";
import { RequestJournal } from "../../../src/gateway/requests/request_journal.ts";
import { RunMeter } from "../../../src/gateway/requests/run_meter.ts";
import type { ReplicaEntry } from "../../../src/gateway/replicas/model.ts";
import { RouteKind } from "../../../src/gateway/routing/model.ts";
import type { Answer } from "../../../src/gateway/upstreams/call.ts";
import { BodyEnding, Framing } from "../../../src/gateway/upstreams/framing.ts";
import { TEST_TUNING } from "../test_tuning.ts";

/** Options of {@link relayStream}. */
export type StreamRelayOptions = {
  readonly resumable: boolean;
  readonly replicaRates: boolean;
  /** Of the response; a stream of events by default. */
  readonly headers?: Readonly<Record<string, string>>;
  /** How the response ends; complete by default. */
  readonly ending?: BodyEnding;
  readonly confirmEnd?: () => Promise<boolean>;
  /** The system clock by default. */
  readonly clock?: Clock;
  readonly abandonStalled?: () => boolean;
  /** Called when the head is written to the caller. */
  readonly onHead?: () => void;
  /** True by default. */
  readonly mayForward?: Promise<boolean>;
};

/** A response that is being forwarded. */
export type OpenRelay = {
  /** Emits the parts and the end of the response. */
  readonly message: EventEmitter;
  /** The parts that have been written to the caller. */
  readonly written: readonly Buffer[];
  /** Reports to the planner so far, in order. */
  readonly reports: readonly string[];
  /** Resolves when the response has ended. */
  readonly relayed: Promise<RelayedStream>;
};

/** What a response left behind. */
export type RelayedStream = {
  readonly outcome: RelayOutcome;
  /** The parts that were written to the caller. */
  readonly written: readonly Buffer[];
  readonly position: EventPosition;
  /** The fields of the request's record in the log. */
  readonly logged: Readonly<Record<string, unknown>>;
  /** Reports to the planner, in order. */
  readonly reports: readonly string[];
};

const EVENT_STREAM = { "content-type": "text/event-stream" };
const METRICS = new Metrics();

/** Forwards the parts of a response to a caller who reads at once. */
export function relayStream(
  parts: readonly Buffer[],
  options: StreamRelayOptions,
): Promise<RelayedStream> {
  const { message, relayed } = openRelay(options);
  for (const part of parts) message.emit("data", part);
  message.emit("close");
  return relayed;
}

/** Begins to forward a response to a caller who reads at once. */
export function openRelay(options: StreamRelayOptions): OpenRelay {
  const { abandonStalled = () => false } = options;
  const written: Buffer[] = [];
  const reports: string[] = [];
  const position: EventPosition = {};
  let logged: Readonly<Record<string, unknown>> = {};
  const context = contextOf(options, (fields) => logged = fields);
  const request = requestOf(options, context);
  const reply = replyOf(written, options);
  const journal = new RequestJournal(context, request);
  const attempts = {} as Attempts;
  const writer = new ReplyWriter({ reply, attempts, journal });
  const meter = meterOf(context, request, reports);
  const message = createMessage(options);
  const answer = answerOf(message, options);
  meter.noteSent();
  const outcome = relayToCaller(context, request, {
    answer,
    startedAt: context.clock.now(),
    reply,
    writer,
    journal,
    position,
    observer: meter.observer(),
    entry: {} as ReplicaEntry,
    abandonStalled,
    onFirstEvent: () => undefined,
    mayForward: options.mayForward ?? Promise.resolve(true),
  });
  const relayed = outcome.then((outcome) => {
    journal.answered(200, "complete");
    return { outcome, written, position, logged, reports };
  });
  return { message, written, reports, relayed };
}

function createMessage({ headers = EVENT_STREAM }: StreamRelayOptions) {
  return Object.assign(new EventEmitter(), {
    statusCode: 200,
    headers,
    rawHeaders: Object.entries(headers).flat(),
    complete: true,
    pause: () => undefined,
    resume: () => undefined,
    destroy: () => undefined,
  });
}

function answerOf(
  message: EventEmitter,
  { ending = BodyEnding.complete }: StreamRelayOptions,
): Answer {
  const isUnframed = ending === BodyEnding.unconfirmed;
  return {
    message: message as IncomingMessage,
    framing: isUnframed ? Framing.connection : Framing.chunked,
    address: "127.0.0.1:1",
    peer: undefined,
    carried: { connection: 1, count: 0, hasSameId: false },
    ending: () => ending,
  };
}

function replyOf(written: Buffer[], { onHead }: StreamRelayOptions): Reply {
  return {
    writeHead: () => onHead?.(),
    write: (part) => {
      written.push(part);
      return true;
    },
    drained: () => Promise.resolve(),
    end: () => undefined,
    hasEnded: () => false,
    fail: () => undefined,
    abort: () => undefined,
  };
}

function meterOf(
  context: GatewayContext,
  request: GatewayRequest,
  reports: string[],
): RunMeter {
  const planner: Partial<PlannerClient> = {
    started: () => void reports.push("started"),
    running: (_id, { events }) => void reports.push(`running ${events}`),
    heldUp: () => void reports.push("heldUp"),
  };
  const placer: Partial<Placer> = { assignmentId: "1" };
  return new RunMeter({
    context,
    request,
    planner: planner as PlannerClient,
    placer: placer as Placer,
  });
}

function requestOf(
  { resumable }: StreamRelayOptions,
  { clock }: GatewayContext,
): GatewayRequest {
  const request = {
    route: { name: "route", kind: RouteKind.streaming, resumable },
    facts: {},
    receivedAt: clock.now(),
  };
  return request as GatewayRequest;
}

function contextOf(
  options: StreamRelayOptions,
  onNote: (fields: Readonly<Record<string, unknown>>) => void,
): GatewayContext {
  const { replicaRates, clock = systemClock } = options;
  const { confirmEnd = () => Promise.resolve(true) } = options;
  const crashes = { ends: { confirm: confirmEnd } };
  const scheduling = { ...TEST_TUNING.scheduling, replicaRates };
  const context: Partial<GatewayContext> = {
    clock,
    events: { note: (_name, fields = {}) => onNote(fields) },
    metrics: METRICS,
    crashes: crashes as unknown as CrashWatch,
    heldBytes: new ByteBudget(Infinity),
    tuning: { ...TEST_TUNING, scheduling },
  };
  return context as GatewayContext;
}
