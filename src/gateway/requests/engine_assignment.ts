/** The assignment of a request at a model engine by its planner. */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { Assignment, AssignmentRefusal } from "../planning/assignment.ts";
import type { PlannerClient } from "../planning/planner_client.ts";
import type { Engine } from "../routing/model.ts";
import type { Attempts } from "./attempts.ts";
import { placementRequestOf } from "./engine_request.ts";
import {
  availabilityWaitMs,
  otherVersions,
  usableReplicas,
  watchAvailability,
} from "./availability.ts";
import { plannerRefusal, unavailableRefusal } from "./refusals.ts";
import type { PlacementConstraints, PlacementRefusal } from "./placement.ts";
import { nextAssignmentId } from "./assignment_ids.ts";
import { type ReplicaChoice, usableChoice } from "./replica_choice.ts";
import type { Replica } from "../replicas/replica.ts";
import type { GatewayRequest } from "./request.ts";

/** Delay before the next request to a planner that named an unknown replica. */
const LISTING_RETRY_MS = 100;

/** Options of {@link EngineAssignment}. */
export type EngineAssignmentOptions = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly planner: PlannerClient;
  readonly engine: Engine;
  /** Sends of the request, prefills included. */
  readonly attempts: Attempts;
};

/** The current assignment of one request, if it has one. */
export class EngineAssignment {
  readonly #options: EngineAssignmentOptions;
  #cancelWait: () => void = () => undefined;
  /** Identifies the assignment to its planner; each attempt has a new id. */
  #id: string | undefined;
  /** An export was lost, so the decode replica prefills the prompt itself. */
  #localPrefill = false;
  #ended = false;

  constructor(options: EngineAssignmentOptions) {
    this.#options = options;
  }

  /** Identifies the assignment to its planner. */
  get id(): string | undefined {
    return this.#id;
  }

  /**
   * Requests assignments until one is usable or the placement deadline passes.
   */
  async find(
    constraints: PlacementConstraints,
  ): Promise<ReplicaChoice | PlacementRefusal> {
    const { context, request } = this.#options;
    const { requiredVersion } = constraints;
    const closed = new Set(constraints.excluded);
    for (;;) {
      const open = { ...constraints, excluded: closed };
      const available = usableReplicas(context, request, open);
      if (available.type === "none") {
        const waitMs = availabilityWaitMs(
          { ...this.#options, constraints },
          available,
        );
        if (waitMs === undefined) {
          return unavailableRefusal(context, request, available);
        }
        await sleep(context.clock, waitMs);
        if (this.#ended) return { error: GatewayError.noMemory };
        continue;
      }
      const { excluded, nextAvailableMs } = available;
      const assignment = await this.#request(
        { ...constraints, excluded },
        nextAvailableMs,
      );
      if (assignment === "reopened") continue;
      if ("reason" in assignment) {
        return plannerRefusal(assignment, constraints);
      }
      const choice = usableChoice(context, assignment, constraints);
      if (choice) return choice;
      this.end();
      // Either the planner does not know yet that the replica is closed to this
      // host, or the replica is not in this host's listing yet.
      const isListed = context.replicas.get(assignment.decode) !== undefined;
      if (isListed) closed.add(assignment.decode);
      else await sleep(context.clock, LISTING_RETRY_MS);
      if (this.#ended) return { error: GatewayError.noMemory };
      // A planner of an older build doesn't read the version in a request.
      for (const other of otherVersions(context, request, requiredVersion)) {
        closed.add(other);
      }
    }
  }

  /**
   * Requests an assignment. Cancels the request and returns "reopened" when an
   * excluded replica becomes usable, so that the caller can request again.
   */
  async #request(
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
      constraints,
      reopen,
    );
    const assignment = await wait.result;
    cancelTimer();
    cancelCheck();
    if (!("reason" in assignment)) this.#id = id;
    else if (isReopened && assignment.reason === "cancelled") return "reopened";
    return assignment;
  }

  /** Clears the id of the assignment and returns it. */
  take(): string | undefined {
    const id = this.#id;
    this.#id = undefined;
    return id;
  }

  /** Ends the wait for an assignment. */
  interrupt(): void {
    this.#cancelWait();
  }

  /** Tells the planner that the request uses a replica after all. */
  adopt(constraints: PlacementConstraints, { entry }: Replica): void {
    const { context, planner } = this.#options;
    const id = nextAssignmentId(context);
    const attempt = { id, localPrefill: this.#localPrefill };
    const request = placementRequestOf(this.#options, constraints, attempt);
    planner.adopt(request, entry.incarnation);
    this.#id = id;
  }

  /** Ends the assignment at its planner. */
  end(): void {
    const id = this.take();
    if (id !== undefined) this.#options.planner.ended(id);
  }

  /** Gives the assignment back, because its replica does not accept it. */
  refuse(retryAfterMs?: Milliseconds): void {
    const id = this.take();
    if (id !== undefined) this.#options.planner.refused(id, retryAfterMs);
  }

  /** Requests all further assignments with the prefill at the decode replica. */
  prefillLocally(): void {
    this.#localPrefill = true;
  }

  /** Cancels all waits when the request ends. */
  cancel(): void {
    this.#ended = true;
    this.#cancelWait();
  }
}
