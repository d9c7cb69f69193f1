/** Tracks the sends of one request and decides whether another is allowed. */
import type { GatewayContext } from "../context.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { RequiredVersion } from "../replicas/required_version.ts";
import { isRepeatable } from "../routing/model.ts";
import type { Placement } from "./placement.ts";
import type { GatewayRequest } from "./request.ts";
import { hasOtherReplica } from "./sender.ts";

/** Maximum sends of one request, including those that did not run. */
const MAX_SENDS = 4;
/** Share of the retry budget that second sends use; failures need the rest. */
const SECOND_SENDS_SHARE = 0.5;

/** Counts the sends of one request and charges them to the retry budget. */
export class Attempts {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #excluded = new Set<string>();
  /** Replicas that have interrupted a response to this request. */
  readonly #interrupted = new Set<string>();
  #sends = 0;
  /** Arrivals at replicas that count towards the retry budget. */
  #arrivals = 0;
  /** Arrivals beyond the first that have been charged to the budget. */
  #charged = 0;
  /** A replica has accepted a prefill; only the first one is free of charge. */
  #isPrefillAccepted = false;
  /** Sends that may have run. */
  #possibleRuns = 0;
  #isAfterError = false;
  /** A retry that was acquired before the attempt ahead of it was ended. */
  #hasRetry = false;

  constructor(context: GatewayContext, request: GatewayRequest) {
    this.#context = context;
    this.#request = request;
  }

  /** Incarnations that must not be tried again. */
  get excluded(): ReadonlySet<string> {
    return this.#excluded;
  }

  get sends(): number {
    return this.#sends;
  }

  /** Whether a send is in progress or an earlier one may have run. */
  get mayHaveRun(): boolean {
    return this.#possibleRuns > 0;
  }

  /**
   * Like {@link mayHaveRun}, but also true if the caller resumes a stream that
   * it has received in part.
   */
  get mayHaveRunAnywhere(): boolean {
    return this.mayHaveRun || this.#request.facts.lastEventId !== undefined;
  }

  get hasTimeLeft(): boolean {
    return this.#context.clock.now() < this.#request.deadline;
  }

  /** Whether the route allows no further run. */
  get isLast(): boolean {
    return this.#possibleRuns >= this.#request.route.attempts;
  }

  /** Whether the last send ended with an error response. */
  get isAfterError(): boolean {
    return this.#isAfterError;
  }

  /** Counts a send before it starts. */
  noteSent(): void {
    this.#isAfterError = false;
    this.#sends += 1;
    this.#possibleRuns += 1;
    this.#arrivals += 1;
  }

  /** Records that the last send did not run and never will. */
  noteNotRun(): void {
    this.#possibleRuns -= 1;
  }

  /** Records that the last send never reached its replica. */
  noteNotArrived(): void {
    this.noteNotRun();
    this.#sends -= 1;
    this.#arrivals -= 1;
  }

  /** Counts a prefill that arrived at a replica. */
  notePrefill(wasRejected: boolean): void {
    if (wasRejected || this.#isPrefillAccepted) this.#arrivals += 1;
    if (!wasRejected) this.#isPrefillAccepted = true;
  }

  exclude(incarnation: string): void {
    this.#excluded.add(incarnation);
  }

  /**
   * Records that the replica's response was interrupted. A model engine is not
   * excluded the first time, unless it has started again: it caches the prompt,
   * and often only the connection was lost.
   */
  noteInterrupted(
    { incarnation, stage }: ReplicaEntry,
    isOutdated: boolean,
  ): void {
    const hasPromptCached = stage !== undefined && !isOutdated &&
      !this.#interrupted.has(incarnation);
    if (!hasPromptCached) this.exclude(incarnation);
    this.#interrupted.add(incarnation);
  }

  /**
   * Time after which another replica is tried if this one has not responded;
   * undefined: none may be, or there is no other one.
   */
  answerTimeoutMs(
    entry: ReplicaEntry,
    requiredVersion: RequiredVersion | undefined,
  ): Milliseconds | undefined {
    if (!this.repeatable || this.isLast) return undefined;
    const excluded = this.#excluded;
    const other = { entry, excluded, requiredVersion };
    if (!hasOtherReplica(this.#context, this.#request, other)) return undefined;
    const { objectiveMs } = this.#request.route;
    return objectiveMs * this.#context.tuning.retryAfterObjectives;
  }

  /** Whether the route allows a retry after a send that may have run. */
  get repeatable(): boolean {
    return isRepeatable(this.#request.route);
  }

  /**
   * Acquires the retry that follows a late attempt, if there may be one; if not,
   * the attempt goes on. The next {@link acquireRetry} uses it.
   */
  acquireRetryInAdvance(reason: string): boolean {
    this.#hasRetry = this.acquireRetry(reason);
    return this.#hasRetry;
  }

  /** Acquires a retry if the route, the deadline and the budget allow it. */
  acquireRetry(reason: string): boolean {
    if (this.#hasRetry) {
      this.#hasRetry = false;
      return this.hasTimeLeft;
    }
    const { events, metrics } = this.#context;
    const { facts: { id: request }, route: { name: route } } = this.#request;
    if (this.isLast || this.#sends >= MAX_SENDS || !this.hasTimeLeft) {
      return false;
    }
    if (!this.chargeSend(reason)) return false;
    metrics.count("retries");
    events.note("retried", {
      request,
      route,
      reason,
      runs: this.#possibleRuns,
    });
    return true;
  }

  /**
   * Acquires a retry at another replica instead of passing on an error
   * response, unless the planner knows that it would not help.
   */
  acquireErrorRetry(
    { replica, advice }: Pick<Placement, "replica" | "advice">,
    status: number,
  ): boolean {
    if (!this.repeatable) return false;
    if (advice?.finalErrors) {
      this.#context.metrics.count("error_retries_spared");
      return false;
    }
    if (!this.acquireRetry(`Status ${status}`)) return false;
    this.exclude(replica.entry.incarnation);
    this.#isAfterError = true;
    return true;
  }

  /** Acquires a second send beside one that is in progress. */
  acquireSecond(): boolean {
    const { clock, retryBudget, metrics, hostCount } = this.#context;
    if (this.isLast || this.#sends >= MAX_SENDS || !this.hasTimeLeft) {
      return false;
    }
    if (this.#charged >= this.#arrivals) return true;
    const { service } = this.#request;
    const share = SECOND_SENDS_SHARE;
    if (!retryBudget.acquire(service, hostCount(), clock.now(), share)) {
      metrics.count("second_attempts_denied");
      return false;
    }
    this.#charged += 1;
    return true;
  }

  /**
   * Charges the budget for sending the request itself; false if the budget is
   * exhausted. The budget counts arrivals at replicas rather than retry
   * decisions: whatever follows a rejected prefill counts as a retry. The fleet
   * therefore keeps within it also while replicas reject most requests.
   */
  chargeSend(reason: string): boolean {
    return this.#charge(1, reason);
  }

  /** Charges the budget for a prefill and the request that follows it. */
  chargePrefill(): boolean {
    return this.#charge(this.#isPrefillAccepted ? 2 : 1, "A prefill");
  }

  /** Charges `count` more arrivals; the first arrival of a request is free. */
  #charge(count: number, reason: string): boolean {
    const { clock, retryBudget, events, metrics, hostCount } = this.#context;
    const { facts: { id: request }, service, route } = this.#request;
    const hosts = hostCount();
    while (this.#charged < this.#arrivals + count - 1) {
      if (retryBudget.acquire(service, hosts, clock.now())) {
        this.#charged += 1;
        continue;
      }
      metrics.count("retries_denied");
      events.note("retryDenied", { request, route: route.name, reason, hosts });
      return false;
    }
    return true;
  }
}
