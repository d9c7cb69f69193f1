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
import { noteLimit } from "./refusals.ts";
import { memoryTokens } from "./memory.ts";
import type {
  Placement,
  PlacementConstraints,
  PlacementFailure,
  PlacementRefusal,
  Placer,
} from "./placement.ts";
import { type Export, PrefillRunner } from "./prefill.ts";
import {
  acquireReservation,
  dropReservation,
  type Reservation,
} from "./reservations.ts";

/** Reservations that expire sooner than this are not used. */
const EXPIRY_MARGIN_MS = 100;

/** Options of {@link EnginePlacement}. */
export type EnginePlacementOptions = EngineAssignmentOptions;

/**
 * Each reservation without a response doubles the timeout of the next one, up to
 * this often. Where hosts and replicas are short of processor time, every call is
 * slow; with a fixed timeout all would time out, be repeated at once, and keep
 * them busy.
 */
const MAX_DOUBLINGS = 2;

/** Places one request at a model engine. */
export class EnginePlacement implements Placer {
  readonly #options: EnginePlacementOptions;
  readonly #prefills: PrefillRunner;
  readonly #assignment: EngineAssignment;
  #ended = false;
  #reservation: Reservation | undefined;
  #export: Export | undefined;
  #permit: SendPermit | undefined;
  /** Reservations in a row to which no replica responded. */
  #unanswered = 0;

  constructor(options: EnginePlacementOptions) {
    this.#options = options;
    const { context, request, attempts } = options;
    this.#assignment = new EngineAssignment(options);
    this.#prefills = new PrefillRunner(context, request, attempts);
  }

  get assignmentId(): string | undefined {
    return this.#assignment.id;
  }

  async place(
    constraints: PlacementConstraints,
  ): Promise<Placement | PlacementRefusal> {
    const { context, request } = this.#options;
    const { clock, metrics } = context;
    const startedAt = clock.now();
    for (;;) {
      const assignment = await this.#assignment.find(constraints);
      if ("error" in assignment) return assignment;
      if (this.#ended) return this.#releaseEnded();
      if (!isKeyStillValid(context.routes, request)) {
        this.release();
        return { error: GatewayError.unknownKey };
      }
      const permit = await this.#acquirePermit(assignment.replica);
      if (this.#ended) return this.#releaseEnded();
      if (!permit) continue;
      const reservation = await this.#reserve(assignment.replica);
      if (this.#ended) return this.#releaseEnded();
      if (!reservation) continue;
      const waitMs = clock.now() - startedAt;
      metrics.time(Timing.memoryWait, waitMs);
      const prefillMs = await this.#prefill(reservation, assignment.prefill);
      const isLate = clock.now() > reservation.expiresAt - EXPIRY_MARGIN_MS;
      if (!isLate) {
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

  async #reserve(replica: Replica): Promise<Reservation | undefined> {
    const { context, request, engine } = this.#options;
    const { outputMargin, reserveTimeoutMs } = context.tuning;
    const doublings = Math.min(MAX_DOUBLINGS, this.#unanswered);
    const reservation = await acquireReservation(context, replica, {
      tokens: memoryTokens(request.facts, engine, outputMargin),
      maxMs: engine.reservationMs,
      timeoutMs: reserveTimeoutMs * 2 ** doublings,
    });
    const isUnanswered = reservation === "noResponse";
    this.#unanswered = isUnanswered ? this.#unanswered + 1 : 0;
    if (typeof reservation === "string") {
      this.#releasePermit();
      if (isUnanswered) {
        const { monitor } = context.paths;
        const isLocal = monitor.isLost(replica.entry.incarnation);
        this.failed({ rejected: false, isBackoff: false, isLocal });
      } else this.#assignment.refuse();
      return undefined;
    }
    this.#reservation = reservation;
    return reservation;
  }

  async #prefill(
    reservation: Reservation,
    prefill: Replica | undefined,
  ): Promise<Milliseconds> {
    if (!prefill) return 0;
    const { context, planner } = this.#options;
    const startedAt = context.clock.now();
    const { hall } = reservation.replica.entry;
    this.#export = await this.#prefills.run(prefill, hall);
    const spentMs: Milliseconds = context.clock.now() - startedAt;
    if (this.#assignment.id === undefined) return spentMs;
    const usedPlannedReplica = this.#export?.replica === prefill;
    const retryAfterMs = this.#prefills.plannedRetryAfterMs;
    if (usedPlannedReplica) planner.prefilled(this.#assignment.id, spentMs);
    else if (retryAfterMs === undefined) {
      planner.prefillFailed(this.#assignment.id);
    } else planner.prefillLimited(this.#assignment.id, retryAfterMs);
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
    this.#assignment.cancel();
    this.#prefills.end();
    this.release();
  }
}
