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
  readonly admission?: { readonly startsBy: Milliseconds } | undefined;
  /** It goes before more urgent requests. */
  readonly isPromoted?: boolean | undefined;
};

/** The position of a request in the queue, kept from one pass to the next. */
export type QueuePosition<Request extends SchedulingKey = SchedulingKey> = {
  readonly request: Request;
  /** Number of its arrival, which decides if all else is equal. */
  readonly sequence: number;
  /** Estimated time from a grant to the first event. */
  serviceMs: Milliseconds;
  rank: number;
  /** Its rank among the requests of the same `rank`. */
  group: number;
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
  const positions = requests.map((request, sequence) => {
    const position = createPosition(request, sequence);
    position.serviceMs = serviceMs(request);
    return position;
  });
  sortPositions(positions, now);
  return positions.map(({ request }) => request);
}

/** The position of a request that arrives, for {@link sortPositions}. */
export function createPosition<Request extends SchedulingKey>(
  request: Request,
  sequence: number,
): QueuePosition<Request> {
  return { request, sequence, serviceMs: 0, rank: 0, group: 0 };
}

/** Sorts in place into scheduling order; cheap if almost nothing has changed. */
export function sortPositions(
  positions: QueuePosition[],
  now: Milliseconds,
): void {
  for (const position of positions) {
    const { request, serviceMs } = position;
    const isNew = !request.mayHaveRun && !request.isRetry && !request.admission;
    const isLate = !request.mayHaveRun &&
      now + serviceMs > request.dueAt &&
      now < (request.admission?.startsBy ?? Infinity);
    position.rank = rankOf(request);
    position.group = (isNew ? 2 : 0) + (isLate ? 1 : 0);
  }
  // From one pass to the next, the order seldom changes.
  if (!isSorted(positions)) positions.sort(comparePositions);
}

function isSorted(positions: readonly QueuePosition[]): boolean {
  let previous: QueuePosition | undefined;
  for (const position of positions) {
    if (previous && comparePositions(previous, position) > 0) return false;
    previous = position;
  }
  return true;
}

function comparePositions(a: QueuePosition, b: QueuePosition): number {
  return a.rank - b.rank ||
    a.group - b.group ||
    a.request.startTag - b.request.startTag ||
    a.request.dueAt - b.request.dueAt ||
    a.sequence - b.sequence;
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
