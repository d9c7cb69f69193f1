/** Reads a request's prompt at a prefill replica. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import { CallMode } from "../port.ts";
import { chooseReplica } from "../replicas/choice.ts";
import { ReplicaStage } from "../replicas/model.ts";
import type { Replica } from "../replicas/replica.ts";
import { readWhole } from "../upstreams/call.ts";
import { callEngine } from "../upstreams/engine_call.ts";
import { Timing } from "../observe/metrics.ts";
import { noteLimit } from "./refusals.ts";
import type { GatewayRequest } from "./request.ts";
import type { Attempts } from "./attempts.ts";
import {
  noteBreak,
  type Sending,
  sendRequest,
  type SendResult,
} from "./sender.ts";

/** Longest body of a finished prefill's answer. */
const BODY_LIMIT = 64 * 1024;
/** Prefill replicas that are tried for one request. */
const MOST_TRIES = 2;

/** A finished prefill, kept for its decode. */
export type Export = {
  readonly replica: Replica;
  readonly id: string;
};

/** The prefills of one request. */
export class Prefills {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #attempts: Attempts;
  readonly #excluded = new Set<string>();
  #sending: Sending | undefined;
  #planned: Replica | undefined;
  #limitedMs: Milliseconds | undefined;
  #ended = false;

  constructor(
    context: GatewayContext,
    request: GatewayRequest,
    attempts: Attempts,
  ) {
    this.#context = context;
    this.#request = request;
    this.#attempts = attempts;
  }

  /** Ends the call under way; a prefill that finishes late is let go. */
  end(): void {
    this.#ended = true;
    this.#sending?.abort("The request ended");
  }

  /**
   * The planned replica was not asked, through no fault of its own, and may be
   * after this time; absent: it was.
   */
  get limitedMs(): Milliseconds | undefined {
    return this.#limitedMs;
  }

  /** Reads the prompt, first at `planned`; undefined when none did. */
  async run(planned: Replica, hall: string): Promise<Export | undefined> {
    this.#planned = planned;
    this.#limitedMs = undefined;
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const replica = tries === 0 ? planned : this.#choose(hall);
      if (!replica || this.#ended) return undefined;
      const { crashes } = this.#context;
      if (crashes.quarantineOf(this.#request.fingerprint)) return undefined;
      if (!this.#attempts.affordPrefill()) return undefined;
      const outcome = await this.#context.gate.permit(replica);
      if (outcome.type === "closed") {
        this.#noteUnused(replica, 0);
        this.#excluded.add(replica.entry.incarnation);
        continue;
      }
      if (outcome.type === "refused") {
        this.#noteLimit(replica, outcome.retryAfterMs);
        this.#noteUnused(replica, outcome.retryAfterMs);
        continue;
      }
      if (this.#ended) {
        outcome.permit.giveBack();
        return undefined;
      }
      const made = await this.#runAt(replica, outcome.permit);
      if (made) return made;
      this.#excluded.add(replica.entry.incarnation);
    }
    return undefined;
  }

  #choose(hall: string): Replica | undefined {
    const { replicas, gate, clock, random, tuning } = this.#context;
    const open = replicas.openOf(this.#request.service).filter((one) =>
      one.entry.stage === ReplicaStage.prefill && !gate.obstacle(one)
    );
    const query = {
      hall,
      farCharge: tuning.farCharge,
      now: clock.now(),
      chance: random(),
      excluded: this.#excluded,
    };
    return chooseReplica(open, query, (one) => one.calls);
  }

  #noteUnused(replica: Replica, forMs: Milliseconds): void {
    if (replica === this.#planned) this.#limitedMs = forMs;
  }

  #noteLimit(replica: Replica, retryAfterMs: Milliseconds): void {
    noteLimit(this.#context, this.#request, { replica, retryAfterMs });
    this.#excluded.add(replica.entry.incarnation);
  }

  async #runAt(
    replica: Replica,
    permit: SendPermit,
  ): Promise<Export | undefined> {
    const { clock, dialect, tuning, metrics, events } = this.#context;
    const startedAt = clock.now();
    this.#sending = sendRequest(this.#context, this.#request, replica, {
      head: {
        mode: CallMode.prefill,
        replica: replica.entry.id,
        priority: this.#request.priority,
        patienceMs: this.#request.limitAt - startedAt,
      },
      permit,
      timeoutMs: tuning.prefillTimeoutMs,
    });
    const result = await this.#sending.result;
    if (result.type === "closed") {
      this.#noteUnused(replica, 0);
      return undefined;
    }
    this.#noteArrival(result);
    const status = result.type === "answer"
      ? result.answer.message.statusCode
      : 0;
    const body = result.type === "answer" && status === 200
      ? await readWhole(result.answer, BODY_LIMIT)
      : undefined;
    if (status === 200 && body === undefined) {
      noteBreak(this.#context, this.#request, replica, !this.#ended);
    }
    const id = body === undefined ? undefined : dialect.readExport(body);
    if (id !== undefined) {
      metrics.time(Timing.prefill, clock.now() - startedAt);
      if (!this.#ended) return { replica, id };
      this.drop({ replica, id });
      return undefined;
    }
    if (result.type === "answer") result.answer.message.resume();
    if (this.#ended) return undefined;
    if (result.type === "notRun" && result.isBackoff) {
      this.#noteUnused(replica, 0);
    }
    events.note("prefillFailed", {
      request: this.#request.facts.id,
      replica: replica.entry.incarnation,
      reason: result.type === "answer" ? `Status ${status}` : result.reason,
      spent_ms: Math.round(clock.now() - startedAt),
    });
    return undefined;
  }

  #noteArrival(result: Exclude<SendResult, { type: "closed" }>): void {
    const isTurnedAway = result.type === "notRun";
    const hasArrived = !isTurnedAway || result.arrived;
    if (hasArrived) this.#attempts.notePrefill(isTurnedAway);
  }

  /** Lets go of a finished prefill that no decode will take. */
  drop(made: Export): void {
    const { dialect, tuning } = this.#context;
    const call = dialect.dropExport(made.id);
    const timeoutMs = tuning.reserveTimeoutMs;
    void callEngine(this.#context, made.replica.entry, { call, timeoutMs });
  }
}
