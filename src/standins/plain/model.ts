/** A plain service in virtual time: a few calls at once, each runs a while. */

/** One call that runs. */
export type PlainCall = {
  readonly attempt: string;
  readonly body: string;
  readonly endsAt: number;
};

/** A call that has ended, with its answer. */
export type PlainResult = {
  readonly attempt: string;
  readonly body: string;
};

/** One plain service. */
export type PlainService = {
  readonly id: string;
  readonly slots: number;
  readonly serviceMs: number;
  readonly waiting: { readonly attempt: string; readonly body: string }[];
  readonly running: Map<string, PlainCall>;
  draining: boolean;
  readonly epoch: number;
  /** Times that each body was run: the service's own record. */
  readonly ran: Map<string, number>;
};

/** Makes a plain service. */
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
    ran: new Map(),
  };
}

/** Takes a call. */
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
    service.ran.set(next.body, (service.ran.get(next.body) ?? 0) + 1);
  }
}

/** When the next call ends. */
export function nextEnd(service: PlainService): number {
  let next = Infinity;
  for (const call of service.running.values()) {
    next = Math.min(next, call.endsAt);
  }
  return next;
}

/** Ends the calls that are due. */
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

/** The answer to a body. */
export function plainAnswer(body: string): string {
  return JSON.stringify({ accepted: true, of: body });
}

/** Forgets a call; one that runs goes on to its end unheard. */
export function cancelCall(service: PlainService, attempt: string): boolean {
  const place = service.waiting.findIndex((one) => one.attempt === attempt);
  if (place >= 0) service.waiting.splice(place, 1);
  const ran = service.running.delete(attempt);
  return place >= 0 || ran;
}
