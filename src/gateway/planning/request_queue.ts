/** Requests that wait for an assignment at a planner. */
import type { Milliseconds } from "../../util/units.ts";
import type { Claim } from "./bookings.ts";
import type { ServiceForecast } from "./memory_profile.ts";
import type { PlanRequest } from "./messages.ts";
import { createPosition, type QueuePosition, sortPositions } from "./order.ts";

/** A request that waits. */
export type QueuedRequest = {
  /** The host that sent the request. */
  readonly host: string;
  readonly request: PlanRequest;
  readonly mayHaveRun: boolean;
  /**
   * Rank of its route; 0 is the most urgent. Between two routes' while it is
   * beyond its customer's share.
   */
  priority: number;
  /** When its first event is due. */
  readonly dueAt: Milliseconds;
  readonly abandonAt: Milliseconds;
  /** When its caller stops waiting; Infinity if that is unknown. */
  readonly deadlineAt: Milliseconds;
  /** Whether it was refused recently and has been retried. */
  readonly isRetry: boolean;
  /** What was booked for it when it was refused before. */
  readonly claim: Claim;
  /** Position within its customer's share; the smaller is served first. */
  startTag: number;
  /** When its wait is forecast next. */
  nextForecastAt: Milliseconds;
  /** The forecast by which it was last decided about. */
  forecast?: ServiceForecast | undefined;
  /** Absent until it has been admitted. */
  admission?: QueueAdmission | undefined;
  /** Since when later requests are assigned while it waits for memory. */
  passedOverAt?: Milliseconds | undefined;
  /** The replica that is set aside for it. */
  setAside?: string | undefined;
  /** Whether it counts as served towards the shares of its groups. */
  isCounted?: boolean | undefined;
  /**
   * It goes before more urgent requests: its priority is owed service, or it was
   * admitted and its caller is about to time out.
   */
  isPromoted?: boolean | undefined;
  /** It no longer waits: it was answered, or its host is gone. */
  hasLeft?: boolean | undefined;
};

/** The decision to serve a request that can't be assigned at once. */
export type QueueAdmission = {
  /** Whether its first event is expected in time. */
  readonly isOnTime: boolean;
  /** Whether it goes before more urgent requests. */
  readonly isPromoted: boolean;
  /** Until when later requests that can be on time may go before it. */
  readonly startsBy: Milliseconds;
  /** The losses of replicas that the service had when it was admitted. */
  readonly losses: number;
};

/** Waiting requests by id. */
export class RequestQueue {
  readonly #requests = new Map<string, QueuedRequest>();
  /** In the scheduling order of the last pass; new ones are at the end. */
  #positions: QueuePosition<QueuedRequest>[] = [];
  /** Number of requests that have arrived. */
  #arrived = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.#requests.size;
  }

  /** Adds a request received at `now`. */
  add(
    { host, request, isRetry, claim }: Pick<
      QueuedRequest,
      "host" | "request" | "isRetry" | "claim"
    >,
    now: Milliseconds,
  ): void {
    const replaced = this.#requests.get(request.id);
    if (replaced) replaced.hasLeft = true;
    // All fields from the begin: objects with different fields are slow to read.
    const added: QueuedRequest = {
      host,
      request,
      mayHaveRun: request.begun,
      priority: request.priority,
      dueAt: now + request.slackMs,
      abandonAt: now + request.patienceMs,
      deadlineAt: now + (request.deadlineMs ?? Infinity),
      isRetry,
      claim,
      startTag: 0,
      nextForecastAt: now,
      forecast: undefined,
      admission: undefined,
      passedOverAt: undefined,
      setAside: undefined,
      isCounted: false,
      isPromoted: false,
      hasLeft: false,
    };
    this.#requests.set(request.id, added);
    this.#arrived += 1;
    this.#positions.push(createPosition(added, this.#arrived));
  }

  /** All requests, in order of arrival. */
  all(): Iterable<QueuedRequest> {
    return this.#requests.values();
  }

  /** Removes a request that waits no longer. */
  remove(id: string): void {
    const queued = this.#requests.get(id);
    if (queued) queued.hasLeft = true;
    this.#requests.delete(id);
  }

  /** Drops the requests of a host whose link was lost. */
  removeHost(host: string): void {
    for (const [id, queued] of this.#requests) {
      if (queued.host === host) this.remove(id);
    }
  }

  /** The requests in scheduling order. */
  inOrder(
    { serviceMs, isOwed }: {
      /** Estimates the time from a grant to the first event. */
      serviceMs(request: PlanRequest): Milliseconds;
      /** Whether the priority of a request is owed service. */
      isOwed(request: PlanRequest): boolean;
    },
    now: Milliseconds,
  ): QueuedRequest[] {
    this.#positions = this.#positions.filter(({ request }) => !request.hasLeft);
    for (const position of this.#positions) {
      const queued = position.request;
      const { admission, request } = queued;
      position.serviceMs = serviceMs(request);
      queued.isPromoted = admission
        ? admission.isPromoted ||
          now + position.serviceMs + request.objectiveMs > queued.abandonAt
        : isOwed(request);
    }
    sortPositions(this.#positions, now);
    return this.#positions.map(({ request }) => request);
  }
}
