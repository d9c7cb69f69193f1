/**
 * Places requests at model engines. Memory at a decode replica is reserved
 * before the prefill, so that no prompt is processed without room for its
 * output.
 */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import { isKeyStillValid } from "../customers/admission.ts";
import { Timing } from "../observe/metrics.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type { RunSummary } from "../planning/assignment.ts";
import type { Replica } from "../replicas/replica.ts";
import { buildEnginePlacement } from "./build_placement.ts";
import {
  EngineAssignment,
  type EngineAssignmentOptions,
} from "./engine_assignment.ts";
import { type LateReservation, LateReservations } from "./late_reservations.ts";
import { noteLimit } from "./refusals.ts";
import { memoryTokens } from "./memory.ts";
import type {
  Placement,
  PlacementConstraints,
  PlacementFailure,
  PlacementRefusal,
  Placer,
} from "./placement.ts";
import { PlannedPrefill } from "./planned_prefill.ts";
import type { Export } from "./prefill.ts";
import type { ReplicaChoice } from "./replica_choice.ts";
import {
  dropReservation,
  isUsable,
  type PendingReservation,
  requestReservation,
  type Reservation,
  type ReservationFailure,
} from "./reservations.ts";

/** Options of {@link EnginePlacement}. */
export type EnginePlacementOptions = EngineAssignmentOptions;

/** What a request needs before its prefill. */
type Acquired = {
  readonly reservation: Reservation;
  readonly permit: SendPermit;
  readonly prefill: Replica | undefined;
};

/**
 * Each reservation without a response doubles the time until another one is
 * requested, up to this often. Where hosts and replicas are short of processor
 * time, every call is slow; with a fixed time all would be repeated at once and
 * keep them busy.
 */
const MAX_DOUBLINGS = 2;

/** Places one request at a model engine. */
export class EnginePlacement implements Placer {
  readonly #options: EnginePlacementOptions;
  readonly #prefills: PlannedPrefill;
  readonly #assignment: EngineAssignment;
  #ended = false;
  #late: LateReservations;
  #reservation: Reservation | undefined;
  #export: Export | undefined;
  #permit: SendPermit | undefined;
  /** Reservations in a row to which no replica responded. */
  #unanswered = 0;

  constructor(options: EnginePlacementOptions) {
    this.#options = options;
    const { context } = options;
    this.#assignment = new EngineAssignment(options);
    this.#late = new LateReservations({ context, onGranted: () => undefined });
    this.#prefills = new PlannedPrefill(options);
  }

  get assignmentId(): string | undefined {
    return this.#assignment.id;
  }

  async place(
    constraints: PlacementConstraints,
  ): Promise<Placement | PlacementRefusal> {
    const { context } = this.#options;
    const late = this.#late = new LateReservations({
      context,
      onGranted: () => this.#assignment.interrupt(),
    });
    try {
      return await this.#place(constraints);
    } finally {
      late.close();
    }
  }

  async #place(
    constraints: PlacementConstraints,
  ): Promise<Placement | PlacementRefusal> {
    const { context, request } = this.#options;
    const { clock, metrics } = context;
    const startedAt = clock.now();
    for (;;) {
      const acquired = await this.#acquire(constraints);
      if (this.#ended) return this.#releaseEnded();
      if (!acquired) continue;
      if ("error" in acquired) return acquired;
      const { reservation, permit } = acquired;
      const waitMs = clock.now() - startedAt;
      metrics.time(Timing.memoryWait, waitMs);
      const prefillMs = await this.#prefill(acquired);
      if (isUsable(reservation, clock.now())) {
        return buildEnginePlacement(reservation, {
          permit,
          waitMs,
          prefillMs,
          exported: this.#export,
          priority: request.priority,
        });
      }
      this.release();
    }
  }

  /** Acquires memory and a permit; undefined: try again. */
  async #acquire(
    constraints: PlacementConstraints,
  ): Promise<Acquired | PlacementRefusal | undefined> {
    const { context, request } = this.#options;
    const assignment = await this.#assignment.find(constraints);
    if (this.#ended) return undefined;
    if (!isKeyStillValid(context.routes, request)) {
      this.release();
      return { error: GatewayError.unknownKey };
    }
    const late = this.#late.take();
    if (late) return await this.#useLate(late, constraints);
    if ("error" in assignment) return assignment;
    const permit = await this.#acquirePermit(assignment.replica);
    if (this.#ended || !permit) return undefined;
    const reserved = await this.#reserve(assignment);
    if (this.#ended || !reserved) return undefined;
    if (reserved === "late") return await this.#acquireLate(constraints);
    return { reservation: reserved, permit, prefill: assignment.prefill };
  }

  async #acquireLate(
    constraints: PlacementConstraints,
  ): Promise<Acquired | undefined> {
    const late = this.#late.take();
    if (late) return await this.#useLate(late, constraints);
    this.#assignment.end();
    return undefined;
  }

  /** Uses a reservation that was granted late in place of the assignment. */
  async #useLate(
    { reservation, prefill }: LateReservation,
    constraints: PlacementConstraints,
  ): Promise<Acquired | undefined> {
    this.#assignment.end();
    this.#reservation = reservation;
    const { replica } = reservation;
    const permit = await this.#acquirePermit(replica);
    if (this.#ended) return undefined;
    if (!permit) {
      this.release();
      return undefined;
    }
    this.#options.context.metrics.count("reservations_late");
    this.#assignment.adopt(constraints, replica);
    return { reservation, permit, prefill };
  }

  /** Releases all resources of a request that ended during its placement. */
  #releaseEnded(): PlacementRefusal {
    this.release();
    return { error: GatewayError.noMemory };
  }

  /**
   * Acquires a send permit; if that fails, releases or refuses the assignment.
   */
  async #acquirePermit(replica: Replica): Promise<SendPermit | undefined> {
    const { context, request } = this.#options;
    const outcome = await context.gate.permit(replica);
    if (outcome.type === "granted") return this.#permit = outcome.permit;
    if (outcome.type === "closed") {
      this.#assignment.end();
      return undefined;
    }
    const { retryAfterMs } = outcome;
    noteLimit(context, request, { replica, retryAfterMs });
    this.#assignment.refuse(retryAfterMs);
    return undefined;
  }

  /**
   * Reserves memory; undefined if that failed or takes too long, "late" if an
   * earlier reservation was granted first.
   */
  async #reserve(
    { replica, prefill }: ReplicaChoice,
  ): Promise<Reservation | "late" | undefined> {
    const call = this.#late.takeCall(replica) ??
      { pending: this.#request(replica), prefill };
    const { pending } = call;
    const outcome = await this.#await(pending);
    if (typeof outcome !== "string") {
      this.#unanswered = 0;
      return this.#reservation = outcome;
    }
    this.#releasePermit();
    if (outcome === "timeout" || outcome === "late") this.#late.add(call);
    if (this.#ended) return undefined;
    if (outcome === "late") return outcome;
    if (outcome === "refused") {
      this.#unanswered = 0;
      this.#assignment.refuse();
    } else this.#noteUnanswered(replica);
    return undefined;
  }

  #request(replica: Replica): PendingReservation {
    const { context, request, engine } = this.#options;
    return requestReservation(context, replica, {
      tokens: memoryTokens(request.facts, engine, context.tuning.outputMargin),
      maxMs: engine.reservationMs,
    });
  }

  /** Waits for a reservation, or for one that was requested before it. */
  async #await(
    { result }: PendingReservation,
  ): Promise<Reservation | ReservationFailure | "late" | "timeout"> {
    const { clock, tuning } = this.#options.context;
    const doublings = Math.min(MAX_DOUBLINGS, this.#unanswered);
    let cancel = () => {};
    const timeout = new Promise<"timeout">((resolve) => {
      const timeoutMs = tuning.reserveTimeoutMs * 2 ** doublings;
      cancel = clock.after(timeoutMs, () => resolve("timeout"));
    });
    const outcome = await Promise.race([
      result,
      this.#late.granted(),
      timeout,
    ]);
    cancel();
    return outcome;
  }

  #noteUnanswered(replica: Replica): void {
    const { clock, paths: { monitor } } = this.#options.context;
    this.#unanswered += 1;
    replica.noteFailure(clock.now(), true);
    const isLocal = monitor.isLost(replica.entry.incarnation);
    this.failed({ rejected: false, isBackoff: false, isLocal });
  }

  async #prefill(
    { reservation, prefill: planned }: Acquired,
  ): Promise<Milliseconds> {
    const assignmentId = () => this.#assignment.id;
    const task = { planned, reservation, assignmentId };
    const { exported, spentMs } = await this.#prefills.run(task);
    this.#export = exported;
    return spentMs;
  }

  #releasePermit(): void {
    this.#permit?.release();
    this.#permit = undefined;
  }

  release(): void {
    const { context } = this.#options;
    if (this.#reservation) dropReservation(context, this.#reservation);
    if (this.#export) this.#prefills.dropExport(this.#export);
    this.#releasePermit();
    this.consumed();
    this.#assignment.end();
  }

  failed(failure: PlacementFailure): void {
    const { planner } = this.#options;
    const { rejected, isBackoff, isLocal } = failure;
    const exportLost = rejected && !isBackoff && this.#export !== undefined;
    const id = this.#assignment.take();
    if (exportLost) this.#assignment.prefillLocally();
    if (id !== undefined) {
      if (exportLost) planner.exportLost(id);
      else if (isBackoff) planner.refused(id);
      else if (isLocal) planner.ended(id);
      else planner.failed(id);
    }
    this.release();
  }

  consumed(): void {
    this.#reservation = undefined;
    this.#export = undefined;
  }

  completed(run: RunSummary = {}): void {
    const id = this.#assignment.take();
    if (id !== undefined) this.#options.planner.answered(id, run);
  }

  /** Model engines get no second attempts. */
  overtaken(): void {
    this.release();
  }

  end(): void {
    this.#ended = true;
    this.#late.close();
    this.#assignment.cancel();
    this.#prefills.end();
    this.release();
  }
}
