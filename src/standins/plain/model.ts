/** Simulated plain service: limited concurrency and a fixed service time. */

/** A running call. */
export type PlainCall = {
  readonly attempt: string;
  readonly body: string;
  readonly endsAt: number;
};

/** Response to a finished call. */
export type PlainResult = {
  readonly attempt: string;
  readonly body: string;
};

/** A plain service. */
export type PlainService = {
  readonly id: string;
  readonly slots: number;
  readonly serviceMs: number;
  readonly waiting: { readonly attempt: string; readonly body: string }[];
  readonly running: Map<string, PlainCall>;
  draining: boolean;
  readonly epoch: number;
  /** Number of calls that started with each body. */
  readonly runCounts: Map<string, number>;
};

export function createPlain(
  id: string,
  options: { readonly slots: number; readonly serviceMs: number },
  epoch: number,
): PlainService {
  return {
    id,
    ...options,
    waiting: [],
    running: new Map(),
    draining: false,
    epoch,
    runCounts: new Map(),
  };
}

/** Queues a call and starts it when a slot is free. */
export function acceptCall(
  service: PlainService,
  attempt: string,
  body: string,
  now: number,
): void {
  service.waiting.push({ attempt, body });
  startCalls(service, now);
}

function startCalls(service: PlainService, now: number): void {
  while (service.running.size < service.slots) {
    const next = service.waiting.shift();
    if (!next) return;
    const endsAt = now + service.serviceMs;
    service.running.set(next.attempt, { ...next, endsAt });
    service.runCounts.set(
      next.body,
      (service.runCounts.get(next.body) ?? 0) + 1,
    );
  }
}

/** Returns the time when the next call ends. */
export function nextEnd(service: PlainService): number {
  let next = Infinity;
  for (const call of service.running.values()) {
    next = Math.min(next, call.endsAt);
  }
  return next;
}

/** Ends the calls that are due and returns their results. */
export function advancePlain(
  service: PlainService,
  now: number,
): PlainResult[] {
  const results: PlainResult[] = [];
  for (const call of service.running.values()) {
    if (call.endsAt > now) continue;
    service.running.delete(call.attempt);
    const { attempt, body } = call;
    results.push({ attempt, body: plainAnswer(body) });
  }
  startCalls(service, now);
  return results;
}

/** Returns the response body to a request body. */
export function plainAnswer(body: string): string {
  return JSON.stringify({ accepted: true, of: body });
}

/** Removes a queued or running call; returns true when there was one. */
export function cancelCall(service: PlainService, attempt: string): boolean {
  const index = service.waiting.findIndex((call) => call.attempt === attempt);
  if (index >= 0) service.waiting.splice(index, 1);
  const wasRunning = service.running.delete(attempt);
  return index >= 0 || wasRunning;
}
