/**
 * One request from its arrival to its end. One owner, one attempt at a time:
 * a request is sent on only while the earlier send is known not to have run,
 * or where the route says that it may run again.
 */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { isStillHeld } from "../customers/admission.ts";
import { Timing } from "../observe/metrics.ts";
import type { Places } from "../planning/places.ts";
import { RouteKind } from "../routing/model.ts";
import { Attempts } from "./attempts.ts";
import { closedRefusal } from "./availability.ts";
import { createPlacer } from "./create_placer.ts";
import { Ending, type GiveUp, refusalOf } from "./ending.ts";
import type { Placement, Placer } from "./placement.ts";
import { type EventPosition, relayAnswer, type Relayed } from "./relay.ts";
import type { GatewayRequest, Reply } from "./request.ts";
import { RequestJournal } from "./request_journal.ts";
import type { Obstacle } from "../replicas/replica_gate.ts";
import type { Answer } from "../upstreams/call.ts";
import {
  hasOtherReplica,
  noteBreak,
  type Sending,
  sendRequest,
  type SendResult,
} from "./sender.ts";

/** What an exchange is made from. */
export type ExchangeSource = {
  readonly context: GatewayContext;
  readonly places: Places;
  readonly request: GatewayRequest;
  readonly reply: Reply;
  /** Told whether the request may have run at a replica. */
  readonly onEnd: (mayHaveRun: boolean) => void;
};

/** One request under way. */
export class Exchange {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #reply: Reply;
  readonly #ending: Ending;
  readonly #placer: Placer;
  readonly #onEnd: (mayHaveRun: boolean) => void;
  readonly #attempts: Attempts;
  readonly #journal: RequestJournal;
  readonly #position: EventPosition = {};
  readonly #cancelLimit: () => void;
  #sending: Sending | undefined;
  /** The budget has already given the retry that follows. */
  #retryTaken = false;
  #ended = false;

  constructor(source: ExchangeSource) {
    const { context, request, places } = source;
    this.#context = context;
    this.#request = request;
    this.#reply = source.reply;
    this.#onEnd = source.onEnd;
    const attempts = new Attempts(context, request);
    this.#attempts = attempts;
    const journal = new RequestJournal(context, request);
    this.#journal = journal;
    this.#ending = new Ending({ reply: source.reply, attempts, journal });
    this.#placer = createPlacer({ context, request, places, attempts });
    const left = request.limitAt - context.clock.now();
    this.#cancelLimit = context.clock.after(left, () => this.#atLimit());
  }

  /** Serves the request to its end. */
  async run(): Promise<void> {
    const { budget, clock } = this.#context;
    budget.noteRequest(this.#request.service, clock.now());
    while (!this.#ended) await this.#round();
  }

  /** The caller went away: whatever runs for it ends. */
  callerGone(): void {
    if (this.#ended) return;
    this.#context.metrics.count("callers_gone");
    this.#journal.note("callerGone");
    this.#end();
  }

  async #round(): Promise<void> {
    const { crashes } = this.#context;
    await crashes.settled(this.#request.fingerprint, this.#attempts.sends);
    if (this.#ended || this.#holdBack()) return;
    const placed = await this.#placer.place({
      excluded: this.#attempts.excluded,
      begun: this.#attempts.begun,
    });
    if (this.#ended) return;
    if ("error" in placed) {
      return this.#giveUp(placed.error, refusalOf(placed));
    }
    if (this.#holdBack()) return;
    const obstacle = this.#obstacle();
    if (obstacle !== undefined) {
      this.#placer.release();
      return this.#giveUp(obstacle, {});
    }
    const result = await this.#send(placed);
    if (this.#ended) {
      if (result.type === "answer") result.answer.message.destroy();
      return;
    }
    switch (result.type) {
      case "answer":
        return await this.#takeAnswer(placed, result.answer);
      case "closed":
        return this.#takeClosed(placed, result.obstacle);
      default:
        return this.#takeFailure(placed, result);
    }
  }

  /** What was true when the place was given no longer is: nothing was sent. */
  #takeClosed({ replica }: Placement, { type }: Obstacle): void {
    this.#attempts.didNotArrive();
    this.#placer.release();
    const fields = { replica: replica.entry.incarnation, reason: type };
    this.#journal.note("passedOver", fields);
  }

  /**
   * Ends a request that is known, here or at another host, to crash its replicas.
   * Asked before each send, so that neither a retry nor a stream that goes on nor
   * one that has waited for its place crashes one more.
   */
  #holdBack(): boolean {
    const { crashes, clock } = this.#context;
    const quarantine = crashes.quarantineOf(this.#request.fingerprint);
    if (!quarantine) return false;
    this.#journal.heldBack(quarantine);
    const leftMs = quarantine.until - clock.now();
    const seconds = Math.max(1, Math.ceil(leftMs / 1000));
    this.#giveUp(GatewayError.crashesReplicas, { seconds });
    return true;
  }

  /** Why a request that has a place may not be sent there. */
  #obstacle(): GatewayError | undefined {
    if (!this.#attempts.inTime) return GatewayError.outOfTimeNotRun;
    const { routes } = this.#context;
    if (!isStillHeld(routes, this.#request)) return GatewayError.unknownKey;
    const isAfforded = this.#attempts.affordSend("A prefill was turned away");
    return isAfforded ? undefined : GatewayError.refusedByReplicas;
  }

  async #send(placed: Placement): Promise<SendResult> {
    const { clock, tuning } = this.#context;
    const { route, limitAt } = this.#request;
    this.#attempts.begin();
    this.#journal.placed(placed, this.#attempts.sends);
    const patient = !this.#attempts.repeatable || this.#attempts.isLast ||
      !hasOtherReplica(this.#context, this.#request, {
        entry: placed.replica.entry,
        excluded: this.#attempts.excluded,
      });
    const timeoutMs = route.objectiveMs * tuning.retryAfterObjectives;
    const lastEventId = this.#position.lastId;
    this.#sending = sendRequest(this.#context, this.#request, placed.replica, {
      head: {
        ...placed.head,
        patienceMs: limitAt - clock.now(),
        ...(lastEventId === undefined ? {} : { lastEventId }),
      },
      permit: placed.permit,
      ...(patient ? {} : { timeoutMs }),
    });
    return await this.#sending.result;
  }

  #takeFailure(
    placed: Placement,
    result: Extract<SendResult, { type: "notRun" | "unknown" }>,
  ): void {
    const notRun = result.type === "notRun";
    const turnedAway = notRun && result.turnedAway;
    const isBackoff = notRun && result.isBackoff;
    this.#placer.failed({ turnedAway, isBackoff });
    const arrived = !notRun || result.arrived;
    if (!arrived) this.#attempts.didNotArrive();
    else if (notRun) this.#attempts.didNotRun();
    // What was lost with an export may well run at the same replica.
    const exportLost = turnedAway && !isBackoff && placed.export !== undefined;
    // The gate keeps it out for as long as it asked for.
    const mayTakeIt = exportLost || isBackoff;
    if (!mayTakeIt) this.#attempts.exclude(placed.replica.entry.incarnation);
    const allowed = notRun || this.#attempts.repeatable;
    if (allowed && this.#attempts.takeRetry(result.reason)) return;
    const { reason } = result;
    if (!notRun) return this.#giveUp(GatewayError.outcomeUnknown, { reason });
    // Where all replicas asked for a pause it makes no sense to come sooner.
    const refusal = closedRefusal(this.#context, this.#request);
    const { seconds } = refusal ? refusalOf(refusal) : {};
    this.#giveUp(GatewayError.refusedByReplicas, { reason, seconds });
  }

  async #takeAnswer(placed: Placement, answer: Answer): Promise<void> {
    this.#placer.taken();
    const status = answer.message.statusCode ?? 0;
    const { headSent } = this.#ending;
    const failed = status >= 500 || (headSent && status !== 200);
    if (failed && this.#retryAnswer(placed, answer)) return;
    if (failed && headSent) {
      answer.message.destroy();
      const reason = `Status ${status}`;
      return this.#giveUp(GatewayError.outcomeUnknown, { reason });
    }
    const startedAt = this.#context.clock.now();
    const relayed = await this.#relay(placed, answer, startedAt);
    if (relayed === "whole") this.#placer.used();
    else this.#noteCut(placed);
    if (this.#ended) return;
    if (relayed === "whole") return this.#complete(status);
    this.#takeCut(placed);
  }

  #noteCut(placed: Placement): void {
    this.#placer.failed({ turnedAway: false, isBackoff: false });
    const isByReplica = !this.#ended && !this.#retryTaken;
    noteBreak(this.#context, this.#request, placed.replica, isByReplica);
  }

  /** A replica's own failure may be tried elsewhere before it is told. */
  #retryAnswer(placed: Placement, answer: Answer): boolean {
    if (!this.#attempts.repeatable) return false;
    const reason = `Status ${answer.message.statusCode}`;
    if (!this.#attempts.takeRetry(reason)) return false;
    answer.message.resume();
    this.#placer.used();
    this.#attempts.exclude(placed.replica.entry.incarnation);
    return true;
  }

  #relay(
    placed: Placement,
    answer: Answer,
    since: Milliseconds,
  ): Promise<Relayed> {
    const { clock, metrics, tuning } = this.#context;
    const { route, receivedAt } = this.#request;
    const { message } = answer;
    const status = message.statusCode ?? 502;
    return relayAnswer(answer, this.#reply, {
      route,
      head: () => this.#ending.head(status, message.rawHeaders),
      firstByte: () => {
        const at = route.kind === RouteKind.streaming ? since : clock.now();
        metrics.time(Timing.firstByte, at - receivedAt);
      },
      events: {
        position: this.#position,
        clock,
        stallMs: tuning.stallMs,
        moveOn: () => this.#moveOn(placed),
      },
    });
  }

  /** A stalled stream is left only when its replica fails other calls too. */
  #moveOn(placed: Placement): boolean {
    if (!placed.replica.paused(this.#context.clock.now())) return false;
    this.#retryTaken = this.#attempts.takeRetry("The stream stalled");
    return this.#retryTaken;
  }

  #takeCut(placed: Placement): void {
    const now = this.#context.clock.now();
    placed.replica.noteFailure(now, false);
    this.#attempts.noteCut(placed.replica.entry);
    const taken = this.#retryTaken ||
      (this.#attempts.repeatable &&
        this.#attempts.takeRetry("The answer was cut off"));
    this.#retryTaken = false;
    if (taken) {
      if (this.#ending.headSent) {
        this.#journal.note("resumed", { ...this.#position });
      }
      return;
    }
    const reason = "The answer was cut off";
    this.#giveUp(GatewayError.outcomeUnknown, { reason });
  }

  #complete(status: number): void {
    const { crashes } = this.#context;
    if (status < 500) crashes.answered(this.#request.fingerprint);
    this.#journal.answered(status);
    this.#end();
  }

  #giveUp(error: GatewayError, more: GiveUp): void {
    if (this.#ended) return;
    this.#ending.giveUp(error, more);
    this.#end();
  }

  #atLimit(): void {
    const error = this.#attempts.mayHaveRun
      ? GatewayError.outOfTime
      : GatewayError.outOfTimeNotRun;
    this.#giveUp(error, { reason: "The request's time is over" });
  }

  #end(): void {
    this.#ended = true;
    this.#cancelLimit();
    this.#sending?.abort("The request ended");
    this.#placer.end();
    this.#onEnd(this.#attempts.mayHaveRun);
  }
}
