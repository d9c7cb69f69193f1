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
  /** Arrivals at replicas that count against the retry budget. */
  #arrivals = 0;
  /** Arrivals beyond the first that the budget has given. */
  #paid = 0;
  /** A replica has taken up a prefill: the first such is no repeat. */
  #isPrefillUsed = false;
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

  /** An earlier send may have run, or the caller has a part of the answer. */
  get begun(): boolean {
    return this.mayHaveRun || this.#request.facts.lastEventId !== undefined;
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
    this.#arrivals += 1;
  }

  /** The last send did not run and will not. */
  didNotRun(): void {
    this.#runs -= 1;
  }

  /** The last send never reached its replica. */
  didNotArrive(): void {
    this.didNotRun();
    this.#sends -= 1;
    this.#arrivals -= 1;
  }

  /** How a prefill went; one that never arrived isn't told. */
  notePrefill(wasTurnedAway: boolean): void {
    if (wasTurnedAway || this.#isPrefillUsed) this.#arrivals += 1;
    if (!wasTurnedAway) this.#isPrefillUsed = true;
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

  /** Takes another send, if the route, the time and the budget have one. */
  takeRetry(reason: string): boolean {
    const { events, metrics } = this.#context;
    const { facts: { id: request }, route: { name: route } } = this.#request;
    if (this.isLast || this.#sends >= MOST_SENDS || !this.inTime) return false;
    if (!this.affordSend(reason)) return false;
    metrics.count("retries");
    events.note("retried", { request, route, reason, runs: this.#runs });
    return true;
  }

  /**
   * Whether the request itself may arrive once more at a replica. The budget
   * counts arrivals, not decisions to try again: a prefill that was turned away
   * makes what follows it a repeat. So the fleet keeps within its budget also
   * while replicas turn most requests away.
   */
  affordSend(reason: string): boolean {
    return this.#afford(1, reason);
  }

  /** Whether a prefill may arrive, and after it the request itself. */
  affordPrefill(): boolean {
    return this.#afford(this.#isPrefillUsed ? 2 : 1, "A prefill");
  }

  /** Takes what `more` arrivals cost; the first of a request costs nothing. */
  #afford(more: number, reason: string): boolean {
    const { clock, budget, events, metrics, hostCount } = this.#context;
    const { facts: { id: request }, service, route } = this.#request;
    const hosts = hostCount();
    while (this.#paid < this.#arrivals + more - 1) {
      if (budget.take(service, hosts, clock.now())) {
        this.#paid += 1;
        continue;
      }
      metrics.count("retries_denied");
      events.note("retryDenied", { request, route: route.name, reason, hosts });
      return false;
    }
    return true;
  }
}
