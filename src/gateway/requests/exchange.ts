/**
 * Serves one request from its arrival to its end, one send at a time. A request
 * is sent again only if the previous send is known not to have run, or if the
 * route allows it to run more than once.
 */
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { PlannerClient } from "../planning/planner_client.ts";
import { Attempts } from "./attempts.ts";
import { type FailedSend, noteFailedSend } from "./failed_send.ts";
import {
  createLane,
  type Lane,
  raceAttempts,
  secondAfterMs,
  type SecondAttemptOptions,
  type SendOutcome,
} from "./second_attempt.ts";
import { type Failure, failureOf, ReplyWriter } from "./reply_writer.ts";
import type { Placement } from "./placement.ts";
import type { EventPosition } from "./relay.ts";
import { type RelayOutcome, UNFORWARDED_REASONS } from "./relay_outcome.ts";
import { relayToCaller } from "./relay_to_caller.ts";
import type { GatewayRequest, Reply } from "./request.ts";
import { RequestJournal, type RequestProgress } from "./request_journal.ts";
import { mayAbandon } from "./may_abandon.ts";
import { StreamBinding } from "./stream_binding.ts";
import type { Replica } from "../replicas/replica.ts";
import type { Obstacle } from "../replicas/replica_gate.ts";
import type { Answer } from "../upstreams/call.ts";
import { discardBody } from "../upstreams/discard_body.ts";
import { reportOutcome } from "./report_outcome.ts";
import { type RequestState, sendObstacle, sendPlaced } from "./send_placed.ts";
import { AbortReason, type Sending } from "./sender.ts";
import { withdrawUnsent } from "./withdraw_unsent.ts";
import { RequestTime } from "./request_time.ts";
import { rejection, sendRefusal, timeoutError } from "./send_refusal.ts";
import { shortageFields, type StopCheck } from "./stop_check.ts";

/** Options of {@link Exchange}. */
export type ExchangeOptions = {
  readonly context: GatewayContext;
  readonly planner: PlannerClient;
  readonly request: GatewayRequest;
  readonly reply: Reply;
  readonly stopCheck: StopCheck;
  /** Called at the end with whether the request may have run at a replica. */
  readonly onEnd: (mayHaveRun: boolean) => void;
};

/** Serves one request. */
export class Exchange {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #reply: Reply;
  readonly #writer: ReplyWriter;
  readonly #race: SecondAttemptOptions;
  /** The parts of the attempt that is in progress, or will be. */
  #lane: Lane;
  readonly #onEnd: (mayHaveRun: boolean) => void;
  readonly #attempts: Attempts;
  readonly #state: RequestState;
  readonly #journal: RequestJournal;
  readonly #position: EventPosition = {};
  readonly #binding: StreamBinding;
  readonly #cancelTimeout: () => void;
  /** Undefined while something else than a replica's response is awaited. */
  #sending: Pick<Sending, "abort" | "hasStarted"> | undefined;
  /** The next retry has already been charged to the retry budget. */
  #retryAcquired = false;
  #ended = false;

  constructor(options: ExchangeOptions) {
    const { context, request, planner } = options;
    this.#context = context;
    this.#request = request;
    this.#reply = options.reply;
    this.#onEnd = options.onEnd;
    const binding = this.#binding = new StreamBinding(context, request);
    const attempts = this.#attempts = new Attempts(context, request);
    const position = this.#position;
    const time = new RequestTime(options);
    this.#state = { context, request, attempts, binding, position, time };
    const journal = this.#journal = new RequestJournal(context, request);
    this.#writer = new ReplyWriter({ reply: options.reply, attempts, journal });
    this.#lane = createLane(this.#state, planner);
    this.#race = { state: this.#state, planner, journal };
    const leftMs = request.deadline - context.clock.now();
    this.#cancelTimeout = context.clock.after(leftMs, () => this.#onTimeout());
  }

  /** Serves the request; resolves when it has ended. */
  async run(): Promise<void> {
    const { retryBudget, clock } = this.#context;
    try {
      retryBudget.noteRequest(this.#request.service, clock.now());
      const isKnown = await this.#binding.resolve();
      if (!isKnown) this.#fail(GatewayError.streamVersionUnknown, {});
      while (!this.#ended) await this.#attempt();
    } catch (error) {
      // Node.js accepts neither all status codes nor all header values.
      this.#failUnknown(error instanceof Error ? error.message : String(error));
    }
  }

  /** Ends the request and aborts its calls when the caller disconnects. */
  callerDisconnected(): void {
    if (this.#ended) return;
    this.#context.metrics.count("callers_gone");
    this.#journal.note("callerGone");
    this.#end();
  }

  /** How far the request has come. */
  get progress(): RequestProgress {
    return this.#journal.progress(this.#attempts.mayHaveRun);
  }

  /** Ends the request because this host ends; true if it may have run. */
  hostStops(): boolean {
    withdrawUnsent(this.#sending, this.#attempts);
    const { mayHaveRun } = this.#attempts;
    this.#fail(GatewayError.stopping, { reason: "The host stops" });
    return mayHaveRun;
  }

  /** Ends a request that waits if this host exits before its response. */
  refuseIfLate(): void {
    const { shortage } = this.#state.time;
    if (!shortage || !withdrawUnsent(this.#sending, this.#attempts)) return;
    this.#fail(GatewayError.stopping, { basis: shortageFields(shortage) });
  }

  async #attempt(): Promise<void> {
    const { context: { crashes }, request, attempts } = this.#state;
    this.#sending = undefined;
    await crashes.awaitProbes(request.fingerprints, attempts.sends);
    if (this.#ended || this.#rejectUnsendable()) return;
    const placement = await this.#lane.placer.place({
      excluded: this.#attempts.excluded,
      mayHaveRun: this.#attempts.mayHaveRunAnywhere,
      afterError: this.#attempts.isAfterError,
      requiredVersion: this.#binding.requiredVersion,
    });
    if (this.#ended) return;
    if ("error" in placement) {
      return this.#fail(placement.error, failureOf(placement));
    }
    if (this.#rejectUnsendable()) return;
    const obstacle = sendObstacle(this.#state);
    if (obstacle !== undefined) {
      this.#lane.placer.release();
      return this.#fail(obstacle, {});
    }
    if (!this.#binding.allows(placement.replica.entry)) {
      return this.#passOver(placement, "version");
    }
    const { placed, result } = await this.#send(placement);
    this.#state.time.noteResult(result.type);
    if (this.#ended) {
      if (result.type === "answer") result.answer.message.destroy();
      return;
    }
    switch (result.type) {
      case "answer":
        return await this.#handleAnswer(placed, result.answer);
      case "closed": {
        this.#attempts.noteNotArrived();
        const { time: { shortage } } = this.#state;
        const { obstacle } = result;
        return this.#passOver(placed, shortage ? "stopping" : obstacle.type);
      }
      default:
        return this.#handleFailure(placed, result);
    }
  }

  /** Gives a placement back that must not be used; the next attempt follows. */
  #passOver(
    placed: Placement,
    reason: Obstacle["type"] | "version" | "stopping",
  ): void {
    this.#lane.placer.release();
    this.#journal.passedOver(placed, reason);
  }

  /** Ends a request that may not be sent to any replica. */
  #rejectUnsendable(): boolean {
    const refusal = sendRefusal(this.#state, this.#journal);
    if (refusal) this.#fail(...refusal);
    return refusal !== undefined;
  }

  async #send(placed: Placement): Promise<SendOutcome> {
    this.#state.time.noteSent();
    this.#attempts.noteSent();
    this.#binding.noteSend(placed.replica.entry);
    this.#lane.meter.noteSent();
    const { sends } = this.#attempts;
    this.#journal.placed(placed, { sends, position: this.#position });
    const sending = this.#sending = sendPlaced(this.#state, placed);
    const afterMs = secondAfterMs(this.#state, placed);
    if (afterMs === undefined) return { placed, result: await sending.result };
    const first = { ...this.#lane, placed, sending };
    const race = raceAttempts(this.#race, first, afterMs);
    this.#sending = race;
    const { attempt, result } = await race.outcome;
    this.#sending = attempt.sending;
    this.#lane = attempt;
    return { placed: attempt.placed, result };
  }

  #handleFailure(placed: Placement, result: FailedSend): void {
    const { reason } = result;
    const notRun = result.type === "notRun";
    noteFailedSend(this.#attempts, { ...this.#lane, placed }, result);
    const allowed = notRun || this.#attempts.repeatable;
    if (allowed && this.#attempts.acquireRetry(reason)) return;
    if (!notRun) return this.#failUnknown(reason);
    this.#fail(...rejection(this.#state, reason));
  }

  async #handleAnswer(placed: Placement, answer: Answer): Promise<void> {
    this.#lane.placer.consumed();
    const status = answer.message.statusCode ?? 0;
    const { headersSent } = this.#writer;
    const failed = status >= 500 || (headersSent && status !== 200);
    if (failed && this.#attempts.acquireErrorRetry(placed, status)) {
      discardBody(answer, this.#context.clock);
      return this.#lane.meter.complete(status);
    }
    if (failed && headersSent) {
      answer.message.destroy();
      return this.#failUnknown(`Status ${status}`);
    }
    const outcome = await this.#relay(placed, answer);
    const isByReplica = !this.#ended && !this.#retryAcquired;
    const result = { placed, status, outcome, isByReplica };
    reportOutcome({ ...this.#state, ...this.#lane }, result);
    if (this.#ended) return;
    const isOutdated = this.#binding.isOutdated(placed.replica.entry);
    if (outcome === "interrupted" || isOutdated) {
      return this.#handleInterrupted(placed, isOutdated);
    }
    if (outcome === "unread" || outcome === "withheld") {
      return this.#failUnknown(UNFORWARDED_REASONS[outcome]);
    }
    if (!failed) this.#state.time.noteAnswered();
    this.#journal.answered(status, outcome);
    this.#end();
  }

  #relay({ replica }: Placement, answer: Answer): Promise<RelayOutcome> {
    return relayToCaller(this.#context, this.#request, {
      answer,
      startedAt: this.#context.clock.now(),
      reply: this.#reply,
      writer: this.#writer,
      journal: this.#journal,
      position: this.#position,
      entry: replica.entry,
      mayForward: this.#binding.mayForward(replica.entry)
        .then((may) => may && !this.#ended),
      abandonStalled: () => this.#abandonStalled(replica),
      onFirstEvent: () => this.#binding.noteForwarded(),
      observer: this.#lane.meter.observer(),
    });
  }

  /** Only a stream can go on behind what its caller has received. */
  get #mayContinue(): boolean {
    if (!this.#writer.headersSent) return true;
    return this.#request.route.resumable && !this.#position.endsWithoutId;
  }

  /** Abandons a stalled stream only if it can go on at another replica. */
  #abandonStalled(replica: Replica): boolean {
    if (!this.#mayContinue || !mayAbandon(this.#state, replica)) return false;
    this.#retryAcquired = this.#attempts.acquireRetry("The stream stalled");
    return this.#retryAcquired;
  }

  #handleInterrupted(placed: Placement, isOutdated: boolean): void {
    placed.replica.noteFailure(this.#context.clock.now(), false);
    this.#attempts.noteInterrupted(placed.replica.entry, isOutdated);
    const reason = "The answer was cut off";
    const hasRetry = this.#retryAcquired ||
      (this.#mayContinue && this.#attempts.repeatable &&
        this.#attempts.acquireRetry(reason));
    this.#retryAcquired = false;
    if (!hasRetry) return this.#failUnknown(reason);
    if (!this.#writer.headersSent) return;
    this.#journal.resumed(placed, this.#position);
  }

  #failUnknown(reason: string): void {
    this.#fail(GatewayError.outcomeUnknown, { reason });
  }

  #fail(error: GatewayError, details: Failure): void {
    if (this.#ended) return;
    this.#writer.fail(error, details);
    this.#end();
  }

  #onTimeout(): void {
    withdrawUnsent(this.#sending, this.#attempts);
    const reason = "The request's time is over";
    this.#fail(timeoutError(this.#attempts), { reason });
  }

  #end(): void {
    this.#ended = true;
    this.#cancelTimeout();
    this.#state.time.noteEnded();
    this.#sending?.abort(AbortReason.requestEnded);
    this.#lane.placer.end();
    this.#onEnd(this.#attempts.mayHaveRun);
  }
}
