/** Requests that wait for an assignment at a planner. */
import type { Milliseconds } from "../../util/units.ts";
import type { Claim } from "./bookings.ts";
import type { ServiceForecast } from "./memory_profile.ts";
import type { PlanRequest } from "./messages.ts";
import { schedulingOrder } from "./order.ts";

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
  forecast?: ServiceForecast;
  /** Absent until it has been admitted. */
  admission?: QueueAdmission;
  /** Since when later requests are assigned while it waits for memory. */
  passedOverAt?: Milliseconds;
  /** The replica that is set aside for it. */
  setAside?: string;
  /** Whether it counts as served towards the shares of its groups. */
  isCounted?: boolean;
  /**
   * It goes before more urgent requests: its priority is owed service, or it was
   * admitted and its caller is about to time out.
   */
  isPromoted?: boolean;
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

  /** Number of waiting requests. */
  get size(): number {
    return this.#requests.size;
  }

  /** Adds a request received at `now`. */
  add(
    queued: Pick<
      QueuedRequest,
      "host" | "request" | "isRetry" | "claim"
    >,
    now: Milliseconds,
  ): void {
    const { request } = queued;
    this.#requests.set(request.id, {
      ...queued,
      mayHaveRun: request.begun,
      priority: request.priority,
      dueAt: now + request.slackMs,
      abandonAt: now + request.patienceMs,
      startTag: 0,
      deadlineAt: now + (request.deadlineMs ?? Infinity),
      nextForecastAt: now,
    });
  }

  /** All requests, in order of arrival. */
  all(): Iterable<QueuedRequest> {
    return this.#requests.values();
  }

  remove(id: string): void {
    this.#requests.delete(id);
  }

  /** Drops the requests of a host whose link was lost. */
  removeHost(host: string): void {
    for (const [id, queued] of this.#requests) {
      if (queued.host === host) this.#requests.delete(id);
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
    const all = [...this.#requests.values()];
    for (const queued of all) {
      const { admission, request } = queued;
      queued.isPromoted = admission
        ? admission.isPromoted ||
          now + serviceMs(request) + request.objectiveMs > queued.abandonAt
        : isOwed(request);
    }
    return schedulingOrder(all, now, ({ request }) => serviceMs(request));
  }
}
