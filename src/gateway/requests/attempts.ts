/** What is certain of a request's sends so far, and whether one more may go. */
import type { GatewayContext } from "../context.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { repeatable } from "../routing/model.ts";
import type { GatewayRequest } from "./request.ts";

/** Sends of one request, those that did not run included. */
const MOST_SENDS = 4;

/** The sends of one request. */
export class Attempts {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  readonly #excluded = new Set<string>();
  /** Replicas whose answer was cut off once. */
  readonly #cut = new Set<string>();
  #sends = 0;
  /** Replicas where it may have run. */
  #runs = 0;

  constructor(context: GatewayContext, request: GatewayRequest) {
    this.#context = context;
    this.#request = request;
  }

  /** Replicas that are not to be tried again. */
  get excluded(): ReadonlySet<string> {
    return this.#excluded;
  }

  /** Sends so far. */
  get sends(): number {
    return this.#sends;
  }

  /** A send is out, or an earlier one may have run. */
  get mayHaveRun(): boolean {
    return this.#runs > 0;
  }

  /** The request's time is not over. */
  get inTime(): boolean {
    return this.#context.clock.now() < this.#request.limitAt;
  }

  /** The route has no run left after the one under way. */
  get isLast(): boolean {
    return this.#runs >= this.#request.route.attempts;
  }

  /** A send goes out. */
  begin(): void {
    this.#sends += 1;
    this.#runs += 1;
  }

  /** The last send did not run and will not. */
  didNotRun(): void {
    this.#runs -= 1;
  }

  /** The last send never reached its replica. */
  didNotArrive(): void {
    this.didNotRun();
    this.#sends -= 1;
  }

  /** The replica is not tried again for this request. */
  exclude(incarnation: string): void {
    this.#excluded.add(incarnation);
  }

  /**
   * The replica's answer was cut off. A model engine stays in use the first
   * time: it keeps the prompt, and often only the connection was lost.
   */
  noteCut({ incarnation, stage }: ReplicaEntry): void {
    const keepsPrompt = stage !== undefined && !this.#cut.has(incarnation);
    if (!keepsPrompt) this.exclude(incarnation);
    this.#cut.add(incarnation);
  }

  /** Whether the route allows another send after one that may have run. */
  get repeatable(): boolean {
    return repeatable(this.#request.route);
  }

  /**
   * Takes another send, if the route, the time and the budget have one. Where
   * the last never arrived, the next is no repeat and costs no budget.
   */
  takeRetry(reason: string, arrived = true): boolean {
    const { clock, budget, events, metrics } = this.#context;
    const { facts, service, route } = this.#request;
    const request = facts.id;
    if (this.isLast || this.#sends >= MOST_SENDS || !this.inTime) return false;
    const hosts = this.#context.hostCount();
    if (arrived && !budget.take(service, hosts, clock.now())) {
      metrics.count("retries_denied");
      events.note("retryDenied", { request, route: route.name, reason, hosts });
      return false;
    }
    metrics.count("retries");
    events.note("retried", {
      request,
      route: route.name,
      reason,
      runs: this.#runs,
    });
    return true;
  }
}
