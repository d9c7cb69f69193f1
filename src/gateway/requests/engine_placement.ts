/**
 * Places requests at model engines. Memory at a decode replica is reserved
 * before the prefill, so that no prompt is processed without room for its
 * output.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type {
  Assignment,
  AssignmentRefusal,
  RunSummary,
} from "../planning/assignment.ts";
import type { PlannerClient } from "../planning/planner_client.ts";
import type { Replica } from "../replicas/replica.ts";
import type { Engine } from "../routing/model.ts";
import type { Attempts } from "./attempts.ts";
import { placementDeadline, placementRequestOf } from "./engine_request.ts";
import { buildEnginePlacement } from "./build_placement.ts";
import { usableReplicas, watchAvailability } from "./availability.ts";
import { noteLimit, plannerRefusal, unavailableRefusal } from "./refusals.ts";
import { memoryTokens } from "./memory.ts";
import type {
  Placement,
  PlacementConstraints,
  PlacementFailure,
  PlacementRefusal,
  Placer,
} from "./placement.ts";
import { type Export, PrefillRunner } from "./prefill.ts";
import { nextAssignmentId } from "./assignment_ids.ts";
import type { GatewayRequest } from "./request.ts";
import {
  acquireReservation,
  dropReservation,
  type Reservation,
} from "./reservations.ts";

/** Reservations that expire sooner than this are not used. */
const EXPIRY_MARGIN_MS = 100;
/** Delay before the next request to a planner that named an unknown replica. */
const LISTING_RETRY_MS = 100;

/** Options of {@link EnginePlacement}. */
export type EnginePlacementOptions = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly planner: PlannerClient;
  readonly engine: Engine;
  /** Sends of the request, prefills included. */
  readonly attempts: Attempts;
};

/** The replicas of an assignment, as listed at this host. */
type ReplicaChoice = { readonly replica: Replica; readonly prefill?: Replica };

/** Places one request at a model engine. */
export class EnginePlacement implements Placer {
  readonly #options: EnginePlacementOptions;
  readonly #prefills: PrefillRunner;
  #cancelWait: () => void = () => undefined;
  /** Identifies the assignment to its planner; each attempt has a new id. */
  #assignmentId: string | undefined;
  /** An export was lost, so the decode replica prefills the prompt itself. */
  #localPrefill = false;
  #ended = false;
  #reservation: Reservation | undefined;
  #export: Export | undefined;
  #permit: SendPermit | undefined;

  constructor(options: EnginePlacementOptions) {
    this.#options = options;
    const { context, request, attempts } = options;
    this.#prefills = new PrefillRunner(context, request, attempts);
  }

  get assignmentId(): string | undefined {
    return this.#assignmentId;
  }

  async place(
    constraints: PlacementConstraints,
  ): Promise<Placement | PlacementRefusal> {
    const { clock, metrics } = this.#options.context;
    const startedAt = clock.now();
    for (;;) {
      const assignment = await this.#findAssignment(constraints);
      if ("error" in assignment) return assignment;
      if (this.#ended) return this.#releaseEnded();
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
          priority: this.#options.request.priority,
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
   * Requests assignments until one is usable or the placement deadline passes.
   */
  async #findAssignment(
    constraints: PlacementConstraints,
  ): Promise<ReplicaChoice | PlacementRefusal> {
    const { context, request } = this.#options;
    const closed = new Set(constraints.excluded);
    for (;;) {
      const available = usableReplicas(context, request, closed);
      if (available.type === "none") {
        const { retryAfterMs } = available;
        const isLate = context.clock.now() + retryAfterMs >=
          placementDeadline(this.#options, constraints);
        // Waiting is better than failing a response that has started.
        if (!constraints.mayHaveRun || isLate) {
          return unavailableRefusal(context, request, available);
        }
        await sleep(context.clock, retryAfterMs);
        if (this.#ended) return { error: GatewayError.noMemory };
        continue;
      }
      const { excluded, nextAvailableMs } = available;
      const assignment = await this.#requestAssignment(
        { ...constraints, excluded },
        nextAvailableMs,
      );
      if (assignment === "reopened") continue;
      if ("reason" in assignment) return plannerRefusal(assignment);
      const replica = context.replicas.get(assignment.decode);
      const prefill = assignment.prefill === undefined
        ? undefined
        : context.replicas.get(assignment.prefill);
      if (replica && !context.gate.obstacle(replica)) {
        return prefill ? { replica, prefill } : { replica };
      }
      this.#endAssignment();
      // Either the planner does not know yet that the replica is closed to this
      // host, or the replica is not in this host's listing yet.
      if (replica) closed.add(assignment.decode);
      else await sleep(context.clock, LISTING_RETRY_MS);
    }
  }

  /**
   * Requests an assignment. Cancels the request and returns "reopened" when an
   * excluded replica becomes usable, so that the caller can request again.
   */
  async #requestAssignment(
    constraints: PlacementConstraints,
    nextAvailableMs: Milliseconds,
  ): Promise<Assignment | AssignmentRefusal | "reopened"> {
    const { context, planner } = this.#options;
    const id = nextAssignmentId(context);
    const attempt = { id, localPrefill: this.#localPrefill };
    const wait = planner.request(
      placementRequestOf(this.#options, constraints, attempt),
    );
    this.#cancelWait = wait.cancel;
    let isReopened = false;
    const reopen = () => {
      isReopened = true;
      wait.cancel();
    };
    const cancelTimer = Number.isFinite(nextAvailableMs)
      ? context.clock.after(nextAvailableMs, reopen)
      : () => undefined;
    const cancelCheck = watchAvailability(
      this.#options,
      constraints.excluded,
      reopen,
    );
    const assignment = await wait.result;
    cancelTimer();
    cancelCheck();
    if (!("reason" in assignment)) this.#assignmentId = id;
    else if (isReopened && assignment.reason === "cancelled") return "reopened";
    return assignment;
  }

  /**
   * Acquires a send permit; if that fails, releases or refuses the assignment.
   */
  async #acquirePermit(replica: Replica): Promise<SendPermit | undefined> {
    const { context, request } = this.#options;
    const outcome = await context.gate.permit(replica);
    if (outcome.type === "granted") return this.#permit = outcome.permit;
    if (outcome.type === "closed") {
      this.#endAssignment();
      return undefined;
    }
    const { retryAfterMs } = outcome;
    noteLimit(context, request, { replica, retryAfterMs });
    this.#refuseAssignment(retryAfterMs);
    return undefined;
  }

  async #reserve(replica: Replica): Promise<Reservation | undefined> {
    const { context, request, engine } = this.#options;
    const reservation = await acquireReservation(context, replica, {
      tokens: memoryTokens(request.facts, engine, context.tuning.outputMargin),
      maxMs: engine.reservationMs,
    });
    if (typeof reservation === "string") {
      this.#releasePermit();
      if (reservation === "noResponse") {
        const { monitor } = context.paths;
        const isLocal = monitor.isLost(replica.entry.incarnation);
        this.failed({ rejected: false, isBackoff: false, isLocal });
      } else this.#refuseAssignment();
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
    if (this.#assignmentId === undefined) return spentMs;
    const usedPlannedReplica = this.#export?.replica === prefill;
    const retryAfterMs = this.#prefills.plannedRetryAfterMs;
    if (usedPlannedReplica) planner.prefilled(this.#assignmentId, spentMs);
    else if (retryAfterMs === undefined) {
      planner.prefillFailed(this.#assignmentId);
    } else planner.prefillLimited(this.#assignmentId, retryAfterMs);
    return spentMs;
  }

  /** Clears the id of the assignment and returns it. */
  #takeAssignmentId(): string | undefined {
    const id = this.#assignmentId;
    this.#assignmentId = undefined;
    return id;
  }

  #endAssignment(): void {
    const id = this.#takeAssignmentId();
    if (id !== undefined) this.#options.planner.ended(id);
  }

  #refuseAssignment(retryAfterMs?: Milliseconds): void {
    const id = this.#takeAssignmentId();
    if (id !== undefined) this.#options.planner.refused(id, retryAfterMs);
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
    this.#endAssignment();
  }

  failed(failure: PlacementFailure): void {
    const { planner } = this.#options;
    const { rejected, isBackoff, isLocal } = failure;
    const exportLost = rejected && !isBackoff && this.#export !== undefined;
    const id = this.#takeAssignmentId();
    if (exportLost) this.#localPrefill = true;
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
    const id = this.#takeAssignmentId();
    if (id !== undefined) this.#options.planner.answered(id, run);
  }

  end(): void {
    this.#ended = true;
    this.#cancelWait();
    this.#prefills.end();
    this.release();
  }
}
