/** Runs the prefill of a request at a prefill replica. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { isKeyStillValid } from "../customers/admission.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import { CallMode } from "../port.ts";
import { chooseReplica } from "../replicas/choice.ts";
import { ReplicaStage } from "../replicas/model.ts";
import { isRestarted } from "../replicas/is_restarted.ts";
import type { Replica } from "../replicas/replica.ts";
import { discardBody } from "../upstreams/discard_body.ts";
import { callEngine } from "../upstreams/engine_call.ts";
import { Framing } from "../upstreams/framing.ts";
import { readBody } from "../upstreams/read_body.ts";
import { Timing } from "../observe/metrics.ts";
import { noteInterruption } from "./note_interruption.ts";
import { noteLimit } from "./refusals.ts";
import type { GatewayRequest } from "./request.ts";
import type { Attempts } from "./attempts.ts";
import { type Sending, sendRequest, type SendResult } from "./sender.ts";

/** Maximum size of the response body of a prefill. */
const MAX_BODY_BYTES = 64 * 1024;
/** Maximum number of prefill replicas tried for one request. */
const MAX_TRIES = 2;

/** The KV cache of a finished prefill, retained for the decode replica. */
export type Export = {
  readonly replica: Replica;
  readonly id: string;
};

/** Runs the prefills of one request. */
export class PrefillRunner {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #attempts: Attempts;
  readonly #excluded = new Set<string>();
  #sending: Sending | undefined;
  #plannedReplica: Replica | undefined;
  #plannedRetryAfterMs: Milliseconds | undefined;
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

  /** Aborts the current call; the export of a late prefill is dropped. */
  end(): void {
    this.#ended = true;
    this.#sending?.abort("The request ended");
  }

  /**
   * Time after which the planned replica may be used, if it was skipped because
   * of a limit or a backoff; undefined if it was used.
   */
  get plannedRetryAfterMs(): Milliseconds | undefined {
    return this.#plannedRetryAfterMs;
  }

  /**
   * Runs the prefill, first at `planned`; undefined if no replica finished it.
   */
  async run(planned: Replica, hall: string): Promise<Export | undefined> {
    this.#plannedReplica = planned;
    this.#plannedRetryAfterMs = undefined;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const replica = tries === 0 ? planned : this.#chooseReplica(hall);
      if (!replica || this.#ended) return undefined;
      const { crashes } = this.#context;
      if (crashes.quarantineOf(this.#request.fingerprints)) {
        return undefined;
      }
      if (!this.#attempts.chargePrefill()) return undefined;
      const outcome = await this.#context.gate.permit(replica);
      if (outcome.type === "closed") {
        this.#noteSkipped(replica, 0);
        this.#excluded.add(replica.entry.incarnation);
        continue;
      }
      if (outcome.type === "refused") {
        this.#noteLimit(replica, outcome.retryAfterMs);
        this.#noteSkipped(replica, outcome.retryAfterMs);
        continue;
      }
      if (
        this.#ended || !isKeyStillValid(this.#context.routes, this.#request)
      ) {
        outcome.permit.release();
        // The planner must not take this for a failure of the replica.
        this.#noteSkipped(replica, 0);
        return undefined;
      }
      const exported = await this.#runAt(replica, outcome.permit);
      if (exported) return exported;
      this.#excluded.add(replica.entry.incarnation);
    }
    return undefined;
  }

  #chooseReplica(hall: string): Replica | undefined {
    const { replicas, gate, clock, random, tuning } = this.#context;
    const open = replicas.openReplicasOf(this.#request.service).filter((
      replica,
    ) =>
      replica.entry.stage === ReplicaStage.prefill && !gate.obstacle(replica)
    );
    const query = {
      hall,
      remoteHallPenalty: tuning.remoteHallPenalty,
      now: clock.now(),
      randomValue: random(),
      excluded: this.#excluded,
    };
    return chooseReplica(open, query, (replica) => replica.activeCalls);
  }

  #noteSkipped(replica: Replica, forMs: Milliseconds): void {
    if (replica === this.#plannedReplica) this.#plannedRetryAfterMs = forMs;
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
      headers: {
        mode: CallMode.prefill,
        replica: replica.entry.id,
        priority: this.#request.priority,
        timeLeftMs: this.#request.deadline - startedAt,
      },
      permit,
      timeoutMs: tuning.prefillTimeoutMs,
      isRepeatable: true,
    });
    const result = await this.#sending.result;
    if (result.type === "closed") {
      this.#noteSkipped(replica, 0);
      return undefined;
    }
    this.#noteArrival(result);
    const status = result.type === "answer"
      ? result.answer.message.statusCode
      : 0;
    const body = result.type === "answer" && status === 200
      ? await readBody(result.answer, MAX_BODY_BYTES)
      : undefined;
    const id = body === undefined ? undefined : dialect.readExport(body);
    // Without framing, a part of an export looks complete.
    const isCut = body === undefined ||
      (id === undefined && isUnframed(result));
    if (status === 200 && isCut) {
      noteInterruption(this.#context, this.#request, replica, {
        sentAt: startedAt,
        endedByReplica: !this.#ended,
      });
    }
    if (id !== undefined) {
      metrics.time(Timing.prefill, clock.now() - startedAt);
      if (!this.#ended) return { replica, id };
      this.dropExport({ replica, id });
      return undefined;
    }
    if (result.type === "answer") discardBody(result.answer, clock);
    if (this.#ended) return undefined;
    const isBackoff = result.type === "notRun" && result.isBackoff;
    const isLocal = result.type !== "answer" && result.isLocal;
    if (isBackoff || isLocal) this.#noteSkipped(replica, 0);
    events.note("prefillFailed", {
      request: this.#request.facts.id,
      replica: replica.entry.incarnation,
      reason: result.type === "answer" ? `Status ${status}` : result.reason,
      spent_ms: Math.round(clock.now() - startedAt),
    });
    return undefined;
  }

  #noteArrival(result: Exclude<SendResult, { type: "closed" }>): void {
    const wasRejected = result.type === "notRun";
    const hasArrived = !wasRejected || result.arrived;
    if (hasArrived) this.#attempts.notePrefill(wasRejected);
  }

  /**
   * Drops an export at its replica that no decode replica will use, unless the
   * replica was restarted, see {@link dropReservation}.
   */
  dropExport(exported: Export): void {
    const { dialect, tuning, replicas } = this.#context;
    if (isRestarted(replicas, exported.replica.entry)) return;
    const call = dialect.dropExport(exported.id);
    const timeoutMs = tuning.reserveTimeoutMs;
    void callEngine(this.#context, exported.replica.entry, {
      call,
      timeoutMs,
      check: { type: "none" },
    });
  }
}

function isUnframed(result: SendResult): boolean {
  return result.type === "answer" &&
    result.answer.framing === Framing.connection;
}
