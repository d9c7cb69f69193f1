/** The scheduling order of a planner's queue, and the choice of a minimum. */
import type { Milliseconds } from "../../util/units.ts";

/** The fields by which queued requests are ordered. */
export type SchedulingKey = {
  /** When the first event is due. */
  readonly dueAt: Milliseconds;
  /** An earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  /** It was refused recently and has been retried. */
  readonly isRetry: boolean;
  /** Position within its customer's share; the smaller is served first. */
  readonly startTag: number;
  /** Until when an admitted request lets others go first once it is late. */
  readonly admission?: { readonly startsBy: Milliseconds };
  /** It goes before more urgent requests. */
  readonly isPromoted?: boolean;
};

/**
 * Sorts waiting requests into scheduling order:
 *
 * 1. Requests that may have run already: the caller has received a part of the
 *    response, or the prompt was prefilled.
 * 2. By priority, except for those that are promoted.
 * 3. Within a priority, retries of refused requests, since they are few and
 *    their callers don't retry again, and requests that have been admitted.
 * 4. Requests that can still meet their deadline; those that can no longer meet
 *    it are scheduled last, unless they were admitted and their time to start
 *    has come.
 * 5. By the shares of their customers.
 * 6. By deadline.
 */
export function schedulingOrder<Request extends SchedulingKey>(
  requests: readonly Request[],
  now: Milliseconds,
  serviceMs: (request: Request) => Milliseconds,
): Request[] {
  const keyed = requests.map((request) => ({
    request,
    rank: rankOf(request),
    isNew: !request.mayHaveRun && !request.isRetry && !request.admission,
    isLate: !request.mayHaveRun &&
      now + serviceMs(request) > request.dueAt &&
      now < (request.admission?.startsBy ?? Infinity),
  }));
  keyed.sort((a, b) =>
    a.rank - b.rank ||
    Number(a.isNew) - Number(b.isNew) ||
    Number(a.isLate) - Number(b.isLate) ||
    a.request.startTag - b.request.startTag ||
    a.request.dueAt - b.request.dueAt
  );
  return keyed.map(({ request }) => request);
}

function rankOf({ mayHaveRun, isPromoted, priority }: SchedulingKey): number {
  if (mayHaveRun) return -2;
  return isPromoted ? -1 : priority;
}

/** The element with the smallest value; undefined if all are infinite. */
export function minBy<Element>(
  elements: readonly Element[],
  value: (element: Element) => number,
): Element | undefined {
  let best: Element | undefined;
  let bestValue = Infinity;
  for (const element of elements) {
    const elementValue = value(element);
    if (elementValue >= bestValue) continue;
    best = element;
    bestValue = elementValue;
  }
  return best;
}
