/**
 * Places requests at plain services. The planner counts the requests that all
 * hosts have at each replica. If it does not respond in time, this host chooses
 * a replica by its local count of calls.
 */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type {
  Assignment,
  AssignmentRefusal,
  PlainAdvice,
  RunSummary,
} from "../planning/assignment.ts";
import type { ServiceCustomer } from "../planning/last_ratios.ts";
import type { PlannerClient } from "../planning/planner_client.ts";
import { chooseReplica } from "../replicas/choice.ts";
import type { Replica } from "../replicas/replica.ts";
import { hasRequiredVersion } from "../replicas/required_version.ts";
import { isRepeatable, type Route } from "../routing/model.ts";
import { buildPlainPlacement } from "./build_placement.ts";
import { usableReplicas } from "./availability.ts";
import {
  noteLimit,
  plannerRefusal,
  spreadRetryAfterMs,
  unavailableRefusal,
} from "./refusals.ts";
import { nextAssignmentId } from "./assignment_ids.ts";
import { callerDeadline } from "./engine_request.ts";
import type {
  Placement,
  PlacementConstraints,
  PlacementFailure,
  PlacementRefusal,
  Placer,
} from "./placement.ts";
import type { GatewayRequest } from "./request.ts";

const PLANNER_TIMEOUT_MS = 80;
/** Retries of requests with larger bodies are not recognized. */
const MAX_KEY_BYTES = 64 * 1024;
/** Longest retry delay for callers that do not state one. */
const DEFAULT_MAX_RETRY_MS = 4000;

/** Retry delay of requests that the last ratios refuse. */
const UNPLANNED_RETRY_MS = 500;

/** Places one request at a plain service. */
export class PlainPlacement implements Placer {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #planner: PlannerClient;
  #cancelWait: () => void = () => undefined;
  /** Identifies the current assignment to its planner. */
  #assignmentId: string | undefined;
  #permit: SendPermit | undefined;
  /** What the planner told with the current assignment. */
  #advice: PlainAdvice = {};
  #ended = false;

  constructor(
    context: GatewayContext,
    request: GatewayRequest,
    planner: PlannerClient,
  ) {
    this.#context = context;
    this.#request = request;
    this.#planner = planner;
  }

  get assignmentId(): string | undefined {
    return this.#assignmentId;
  }

  async place(
    constraints: PlacementConstraints,
  ): Promise<Placement | PlacementRefusal> {
    const { clock, gate } = this.#context;
    const requestedAt = clock.now();
    const tried = new Set(constraints.excluded);
    let minRetryAfterMs = Infinity;
    for (;;) {
      const available = usableReplicas(this.#context, this.#request, {
        ...constraints,
        excluded: tried,
      });
      if (available.type === "none") {
        return unavailableRefusal(this.#context, this.#request, available);
      }
      const { excluded } = available;
      const replica = await this.#chooseReplica({ ...constraints, excluded });
      if (this.#ended) return { error: GatewayError.noReplica };
      if (!replica && Number.isFinite(minRetryAfterMs)) {
        const retryAfterMs = spreadRetryAfterMs(
          this.#context,
          this.#request,
          minRetryAfterMs,
        );
        return { error: GatewayError.limited, retryAfterMs };
      }
      if (!replica) return { error: GatewayError.noReplica };
      if ("error" in replica) return replica;
      const outcome = await gate.permit(replica);
      if (outcome.type === "closed") {
        this.release();
        continue;
      }
      if (outcome.type === "granted") {
        const { permit } = outcome;
        this.#permit = permit;
        if (!this.#ended) {
          const waitMs = clock.now() - requestedAt;
          const advice = this.#advice;
          return buildPlainPlacement(replica, { permit, waitMs, advice });
        }
        this.release();
        return { error: GatewayError.noReplica };
      }
      const { retryAfterMs } = outcome;
      this.#noteLimit(replica, retryAfterMs);
      tried.add(replica.entry.incarnation);
      minRetryAfterMs = Math.min(minRetryAfterMs, retryAfterMs);
    }
  }

  /** The replica assigned by the planner, or else one chosen by this host. */
  async #chooseReplica(
    constraints: PlacementConstraints,
  ): Promise<Replica | PlacementRefusal | undefined> {
    const { clock, replicas, gate } = this.#context;
    const assignment = await this.#requestAssignment(constraints, clock.now());
    this.#noteDecision(assignment);
    if ("reason" in assignment && assignment.reason === "busy") {
      return plannerRefusal(assignment, constraints);
    }
    const planned = "decode" in assignment
      ? replicas.get(assignment.decode)
      : undefined;
    const { requiredVersion } = constraints;
    const isUsable = planned && !gate.obstacle(planned) &&
      hasRequiredVersion(planned.entry, requiredVersion);
    if (!isUsable && constraints.isSecond) {
      this.release();
      return { error: GatewayError.noReplica };
    }
    this.#advice = isUsable && "decode" in assignment ? assignment : {};
    if (isUsable) return planned;
    this.release();
    const isUnplanned = "reason" in assignment &&
      assignment.reason === "cancelled";
    if (isUnplanned && !constraints.mayHaveRun && !this.#isWithinRatio()) {
      const retryAfterMs = spreadRetryAfterMs(
        this.#context,
        this.#request,
        UNPLANNED_RETRY_MS,
      );
      return { error: GatewayError.busy, retryAfterMs };
    }
    return this.#chooseLocally(constraints);
  }

  /** Records what part of a customer's requests the planner grants. */
  #noteDecision(assignment: Assignment | AssignmentRefusal): void {
    const { clock, tuning } = this.#context;
    const isGranted = "decode" in assignment;
    if (!tuning.scheduling.customerShares || !this.#request.customer) return;
    if (!isGranted && assignment.reason !== "busy") return;
    this.#planner.ratios.note(this.#customer, isGranted, clock.now());
  }

  /** Whether the planner's last decisions about the customer let it pass. */
  #isWithinRatio(): boolean {
    const { clock, random, tuning } = this.#context;
    if (!tuning.scheduling.customerShares) return true;
    const ratio = this.#planner.ratios.ratioOf(this.#customer, clock.now());
    return ratio === 1 || random() < ratio;
  }

  get #customer(): ServiceCustomer {
    const { service, customer } = this.#request;
    return { service, customer: customer?.name ?? "" };
  }

  /** Reports a replica at its rate limit, which the planner then avoids. */
  #noteLimit(replica: Replica, retryAfterMs: Milliseconds): void {
    noteLimit(this.#context, this.#request, { replica, retryAfterMs });
    const id = this.#clearAssignmentId();
    if (id !== undefined) this.#planner.refused(id, retryAfterMs);
  }

  async #requestAssignment(
    { excluded, mayHaveRun, requiredVersion, afterError, isSecond }:
      PlacementConstraints,
    requestedAt: Milliseconds,
  ): Promise<Assignment | AssignmentRefusal> {
    const { clock } = this.#context;
    const { service, receivedAt, route, deadline, priority, facts } =
      this.#request;
    const id = nextAssignmentId(this.#context);
    const wait = this.#planner.request({
      id,
      service,
      tokens: 1,
      promptTokens: 0,
      outputTokens: 0,
      customer: this.#request.customer?.name ?? "",
      objectiveMs: route.objectiveMs,
      priority,
      dueAt: receivedAt + route.objectiveMs,
      abandonAt: Math.min(deadline, requestedAt + PLANNER_TIMEOUT_MS),
      key: this.#retryKey(),
      longestRetryMs: facts.maxRetryAfterMs ?? DEFAULT_MAX_RETRY_MS,
      ...callerDeadline(this.#request),
      mayHaveRun,
      localPrefill: true,
      repeatable: isRepeatable(route),
      ...this.#countedBy(route),
      afterError: afterError === true,
      isSecond: isSecond === true,
      excluded,
      boundTo: requiredVersion,
    });
    this.#cancelWait = wait.cancel;
    const cancelTimer = clock.after(PLANNER_TIMEOUT_MS, wait.cancel);
    const assignment = await wait.result;
    cancelTimer();
    if ("decode" in assignment) this.#assignmentId = id;
    return assignment;
  }

  /** The route by which the planner counts calls, if it does. */
  #countedBy({ name }: Route): { readonly route?: string } {
    const { replicaRates, errorOrigins, secondAttempts } =
      this.#context.tuning.scheduling;
    const isCounted = replicaRates && (errorOrigins || secondAttempts);
    return isCounted ? { route: name } : {};
  }

  /** Identifies the request over all attempts of its caller. */
  #retryKey(): string {
    const { body, fingerprints } = this.#request;
    const isNeeded = this.#context.tuning.scheduling.bookedReturns;
    return isNeeded && body.length <= MAX_KEY_BYTES
      ? fingerprints.request()
      : "";
  }

  #chooseLocally(
    { excluded, requiredVersion }: PlacementConstraints,
  ): Replica | undefined {
    const { replicas, clock, random, self, tuning } = this.#context;
    const open = replicas.openReplicasOf(this.#request.service)
      .filter(({ entry }) => hasRequiredVersion(entry, requiredVersion));
    const query = {
      hall: self.hall,
      remoteHallPenalty: tuning.remoteHallPenalty,
      now: clock.now(),
      randomValue: random(),
      excluded,
    };
    return chooseReplica(
      open,
      query,
      (candidate) => candidate.activeCalls / Math.max(1, candidate.entry.slots),
    );
  }

  release(): void {
    this.#permit?.release();
    this.#permit = undefined;
    const id = this.#clearAssignmentId();
    if (id !== undefined) this.#planner.ended(id);
  }

  failed({ rejected, isLocal, isError }: PlacementFailure): void {
    const id = this.#clearAssignmentId();
    if (id === undefined) return;
    if (isLocal) this.#planner.ended(id);
    else if (rejected) this.#planner.refused(id);
    else this.#planner.failed(id, isError ? { isError } : {});
  }

  consumed(): void {}

  completed(run: RunSummary = {}): void {
    const id = this.#clearAssignmentId();
    if (id !== undefined) this.#planner.answered(id, run);
  }

  overtaken(runMs: Milliseconds): void {
    this.#permit?.release();
    this.#permit = undefined;
    const id = this.#clearAssignmentId();
    if (id !== undefined) this.#planner.ended(id, { runMs });
  }

  end(): void {
    this.#ended = true;
    this.#cancelWait();
    this.release();
  }

  /** Clears the id of the assignment and returns it. */
  #clearAssignmentId(): string | undefined {
    const id = this.#assignmentId;
    this.#assignmentId = undefined;
    return id;
  }
}
