/** Requests that wait for an assignment at a planner. */
import type { Milliseconds } from "../../util/units.ts";
import type { Claim } from "./bookings.ts";
import type { PlanRequest } from "./messages.ts";
import { schedulingOrder } from "./order.ts";

/** A request that waits. */
export type QueuedRequest = {
  /** The host that sent the request. */
  readonly host: string;
  readonly request: PlanRequest;
  readonly mayHaveRun: boolean;
  readonly priority: number;
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
  readonly startTag: number;
  /** When its wait is forecast next. */
  nextForecastAt: Milliseconds;
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
      "host" | "request" | "isRetry" | "claim" | "startTag"
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
      deadlineAt: now + (request.deadlineMs ?? Infinity),
      nextForecastAt: now,
    });
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

  /**
   * The requests in scheduling order; `serviceMs` estimates the time from a
   * grant to the first event.
   */
  inOrder(
    now: Milliseconds,
    serviceMs: (request: PlanRequest) => Milliseconds,
  ): QueuedRequest[] {
    const all = [...this.#requests.values()];
    return schedulingOrder(all, now, ({ request }) => serviceMs(request));
  }
}
