/**
 * Serves one request from its arrival to its end, one send at a time. A request
 * is sent again only if the previous send is known not to have run, or if the
 * route allows it to run more than once.
 */
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { isKeyStillValid } from "../customers/admission.ts";
import type { PlannerClient } from "../planning/planner_client.ts";
import { Attempts } from "./attempts.ts";
import { refusalWhenNoneAvailable } from "./availability.ts";
import { createPlacer } from "./create_placer.ts";
import { type Failure, failureOf, ReplyWriter } from "./reply_writer.ts";
import type { Placement, Placer } from "./placement.ts";
import type { EventPosition, RelayOutcome } from "./relay.ts";
import { relayToCaller } from "./relay_to_caller.ts";
import type { GatewayRequest, Reply } from "./request.ts";
import { RequestJournal } from "./request_journal.ts";
import { RunMeter } from "./run_meter.ts";
import type { Obstacle } from "../replicas/replica_gate.ts";
import type { Answer } from "../upstreams/call.ts";
import {
  hasOtherReplica,
  isPathLost,
  noteInterruption,
  type Sending,
  sendRequest,
  type SendResult,
} from "./sender.ts";

/** Options of {@link Exchange}. */
export type ExchangeOptions = {
  readonly context: GatewayContext;
  readonly planner: PlannerClient;
  readonly request: GatewayRequest;
  readonly reply: Reply;
  /** Called at the end with whether the request may have run at a replica. */
  readonly onEnd: (mayHaveRun: boolean) => void;
};

/** Serves one request. */
export class Exchange {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #reply: Reply;
  readonly #writer: ReplyWriter;
  readonly #placer: Placer;
  readonly #meter: RunMeter;
  readonly #onEnd: (mayHaveRun: boolean) => void;
  readonly #attempts: Attempts;
  readonly #journal: RequestJournal;
  readonly #position: EventPosition = {};
  readonly #cancelTimeout: () => void;
  #sending: Sending | undefined;
  /** The next retry has already been charged to the retry budget. */
  #retryAcquired = false;
  #ended = false;

  constructor(options: ExchangeOptions) {
    const { context, request, planner } = options;
    this.#context = context;
    this.#request = request;
    this.#reply = options.reply;
    this.#onEnd = options.onEnd;
    const attempts = new Attempts(context, request);
    this.#attempts = attempts;
    const journal = new RequestJournal(context, request);
    this.#journal = journal;
    this.#writer = new ReplyWriter({ reply: options.reply, attempts, journal });
    const placer = createPlacer({ context, request, planner, attempts });
    this.#meter = new RunMeter({ context, request, planner, placer });
    this.#placer = placer;
    const leftMs = request.deadline - context.clock.now();
    this.#cancelTimeout = context.clock.after(leftMs, () => this.#onTimeout());
  }

  /** Serves the request; resolves when it has ended. */
  async run(): Promise<void> {
    const { retryBudget, clock } = this.#context;
    retryBudget.noteRequest(this.#request.service, clock.now());
    while (!this.#ended) await this.#attempt();
  }

  /** Ends the request and aborts its calls when the caller disconnects. */
  callerDisconnected(): void {
    if (this.#ended) return;
    this.#context.metrics.count("callers_gone");
    this.#journal.note("callerGone");
    this.#end();
  }

  async #attempt(): Promise<void> {
    const { crashes } = this.#context;
    await crashes.awaitProbes(this.#request.fingerprint, this.#attempts.sends);
    if (this.#ended || this.#rejectQuarantined()) return;
    const placed = await this.#placer.place({
      excluded: this.#attempts.excluded,
      mayHaveRun: this.#attempts.mayHaveRunAnywhere,
    });
    if (this.#ended) return;
    if ("error" in placed) {
      return this.#fail(placed.error, failureOf(placed));
    }
    if (this.#rejectQuarantined()) return;
    const obstacle = this.#sendObstacle();
    if (obstacle !== undefined) {
      this.#placer.release();
      return this.#fail(obstacle, {});
    }
    const result = await this.#send(placed);
    if (this.#ended) {
      if (result.type === "answer") result.answer.message.destroy();
      return;
    }
    switch (result.type) {
      case "answer":
        return await this.#handleAnswer(placed, result.answer);
      case "closed":
        return this.#handleClosed(placed, result.obstacle);
      default:
        return this.#handleFailure(placed, result);
    }
  }

  /** Handles a replica that closed to this host after the placement. */
  #handleClosed({ replica }: Placement, { type }: Obstacle): void {
    this.#attempts.noteNotArrived();
    this.#placer.release();
    const fields = { replica: replica.entry.incarnation, reason: type };
    this.#journal.note("passedOver", fields);
  }

  /**
   * Ends a request that is quarantined because it crashes replicas. Called
   * before placement and again before the send, since the quarantine may begin
   * while the request waits for an assignment.
   */
  #rejectQuarantined(): boolean {
    const { crashes, clock } = this.#context;
    const quarantine = crashes.quarantineOf(this.#request.fingerprint);
    if (!quarantine) return false;
    this.#journal.quarantined(quarantine);
    const leftMs = quarantine.until - clock.now();
    const retryAfterSeconds = Math.max(1, Math.ceil(leftMs / 1000));
    this.#fail(GatewayError.crashesReplicas, { retryAfterSeconds });
    return true;
  }

  /** Returns why a placed request must not be sent; undefined: it may be. */
  #sendObstacle(): GatewayError | undefined {
    if (!this.#attempts.hasTimeLeft) return GatewayError.outOfTimeNotRun;
    const { routes } = this.#context;
    if (!isKeyStillValid(routes, this.#request)) return GatewayError.unknownKey;
    const isCharged = this.#attempts.chargeSend("A prefill was turned away");
    return isCharged ? undefined : GatewayError.refusedByReplicas;
  }

  async #send(placed: Placement): Promise<SendResult> {
    const { clock, tuning } = this.#context;
    const { route, deadline } = this.#request;
    this.#attempts.noteSent();
    this.#meter.noteSent();
    this.#journal.placed(placed, this.#attempts.sends);
    const mayWaitLonger = !this.#attempts.repeatable || this.#attempts.isLast ||
      !hasOtherReplica(this.#context, this.#request, {
        entry: placed.replica.entry,
        excluded: this.#attempts.excluded,
      });
    const timeoutMs = route.objectiveMs * tuning.retryAfterObjectives;
    const isRepeatable = this.#attempts.repeatable && !this.#attempts.isLast;
    const lastEventId = this.#position.lastId;
    this.#sending = sendRequest(this.#context, this.#request, placed.replica, {
      headers: {
        ...placed.headers,
        timeLeftMs: deadline - clock.now(),
        ...(lastEventId === undefined ? {} : { lastEventId }),
      },
      permit: placed.permit,
      isRepeatable,
      ...(mayWaitLonger ? {} : { timeoutMs }),
    });
    return await this.#sending.result;
  }

  #handleFailure(
    placed: Placement,
    result: Extract<SendResult, { type: "notRun" | "unknown" }>,
  ): void {
    const notRun = result.type === "notRun";
    const rejected = notRun && result.rejected;
    const isBackoff = notRun && result.isBackoff;
    const { isLocal, reason } = result;
    this.#placer.failed({ rejected, isBackoff, isLocal });
    const arrived = !notRun || result.arrived;
    if (!arrived) this.#attempts.noteNotArrived();
    else if (notRun) this.#attempts.noteNotRun();
    // If only the export was lost, the same replica can still run the request.
    const exportLost = rejected && !isBackoff && placed.export !== undefined;
    // The gate excludes a replica that backs off until the backoff ends. If
    // only this host's path failed, a peer can still reach the replica.
    const mayAccept = exportLost || isBackoff || (!notRun && isLocal);
    if (!mayAccept) this.#attempts.exclude(placed.replica.entry.incarnation);
    const allowed = notRun || this.#attempts.repeatable;
    if (allowed && this.#attempts.acquireRetry(reason)) return;
    if (!notRun) return this.#fail(GatewayError.outcomeUnknown, { reason });
    // If all replicas back off, the caller should not retry before one reopens.
    const refusal = refusalWhenNoneAvailable(this.#context, this.#request);
    const { retryAfterSeconds } = refusal ? failureOf(refusal) : {};
    this.#fail(GatewayError.refusedByReplicas, { reason, retryAfterSeconds });
  }

  async #handleAnswer(placed: Placement, answer: Answer): Promise<void> {
    this.#placer.consumed();
    const status = answer.message.statusCode ?? 0;
    const { headersSent } = this.#writer;
    const failed = status >= 500 || (headersSent && status !== 200);
    if (failed && this.#retryAnswer(placed, answer)) return;
    if (failed && headersSent) {
      answer.message.destroy();
      const reason = `Status ${status}`;
      return this.#fail(GatewayError.outcomeUnknown, { reason });
    }
    const outcome = await this.#relay(placed, answer);
    if (outcome === "complete") this.#meter.complete(status);
    else if (outcome === "unread") this.#placer.release();
    else this.#noteInterrupted(placed);
    if (this.#ended) return;
    if (outcome === "unread") return this.#endUnread();
    if (outcome === "complete") return this.#complete(status);
    this.#handleInterrupted(placed);
  }

  #noteInterrupted(placed: Placement): void {
    const isLocal = isPathLost(this.#context, placed.replica);
    this.#placer.failed({ rejected: false, isBackoff: false, isLocal });
    const isByReplica = !this.#ended && !this.#retryAcquired;
    noteInterruption(this.#context, this.#request, placed.replica, isByReplica);
  }

  /** Retries a failed response at another replica instead of forwarding it. */
  #retryAnswer(placed: Placement, answer: Answer): boolean {
    if (!this.#attempts.repeatable) return false;
    const reason = `Status ${answer.message.statusCode}`;
    if (!this.#attempts.acquireRetry(reason)) return false;
    answer.message.resume();
    this.#meter.complete(answer.message.statusCode ?? 0);
    this.#attempts.exclude(placed.replica.entry.incarnation);
    return true;
  }

  #relay(
    placed: Placement,
    answer: Answer,
  ): Promise<RelayOutcome> {
    return relayToCaller(this.#context, this.#request, {
      answer,
      startedAt: this.#context.clock.now(),
      reply: this.#reply,
      writer: this.#writer,
      position: this.#position,
      abandonStalled: () => this.#abandonStalled(placed),
      observer: this.#meter.observer(),
    });
  }

  /** Abandons a stalled stream only if its replica also fails other calls. */
  #abandonStalled(placed: Placement): boolean {
    if (!placed.replica.isPaused(this.#context.clock.now())) return false;
    this.#retryAcquired = this.#attempts.acquireRetry("The stream stalled");
    return this.#retryAcquired;
  }

  #handleInterrupted(placed: Placement): void {
    placed.replica.noteFailure(this.#context.clock.now(), false);
    this.#attempts.noteInterrupted(placed.replica.entry);
    const hasRetry = this.#retryAcquired ||
      (this.#attempts.repeatable &&
        this.#attempts.acquireRetry("The answer was cut off"));
    this.#retryAcquired = false;
    if (hasRetry) {
      if (this.#writer.headersSent) {
        this.#journal.note("resumed", { ...this.#position });
      }
      return;
    }
    const reason = "The answer was cut off";
    this.#fail(GatewayError.outcomeUnknown, { reason });
  }

  /** Ends a response that its caller does not read. */
  #endUnread(): void {
    this.#context.metrics.count("answers_unread");
    const reason = "The caller did not read the answer";
    this.#fail(GatewayError.outcomeUnknown, { reason });
  }

  #complete(status: number): void {
    const { crashes } = this.#context;
    if (status < 500) crashes.noteAnswered(this.#request.fingerprint);
    this.#journal.answered(status);
    this.#end();
  }

  #fail(error: GatewayError, details: Failure): void {
    if (this.#ended) return;
    this.#writer.fail(error, details);
    this.#end();
  }

  #onTimeout(): void {
    const error = this.#attempts.mayHaveRun
      ? GatewayError.outOfTime
      : GatewayError.outOfTimeNotRun;
    this.#fail(error, { reason: "The request's time is over" });
  }

  #end(): void {
    this.#ended = true;
    this.#cancelTimeout();
    this.#sending?.abort("The request ended");
    this.#placer.end();
    this.#onEnd(this.#attempts.mayHaveRun);
  }
}
