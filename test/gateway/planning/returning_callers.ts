/** Callers of an overloaded pool who retry after a refusal, in virtual time. */
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import type { PlannerMessage } from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { messages, planRequest, replica, view } from "./planner_rig.ts";

const STEP_MS = 10;
const LIFETIME_MS = 2000;
const DEADLINE_MS = 13_000;
export const OBJECTIVE_MS = 900;
const DECODES = Array.from(
  { length: 10 },
  (_, index) => replica(`d${index}`, ReplicaStage.decode),
);
/** Requests per second that the pool can start: four at a time per replica. */
export const CAPACITY = DECODES.length * 4 / LIFETIME_MS * 1000;

/** The delay after which a caller retries; undefined: it gives up. */
export type Returning = (
  caller: ReturningCaller,
  toldMs: number,
  attempts: number,
) => number | undefined;

export type ReturningCaller = {
  readonly key: string;
  readonly firstAt: number;
  /** When each of its attempts was sent, and refused. */
  readonly sentAt: number[];
  readonly refusedAt: number[];
  servedAt?: number;
};

export type ReturningLoad = {
  /** Requests per second at a time. */
  rate(now: number): number;
  readonly returning: Returning;
  readonly bookedReturns: boolean;
  readonly untilMs: number;
  /** When another planner without bookings takes over. */
  readonly plannerLostAt?: number;
};

/** Runs the load; also returns the share of idle memory in each step. */
export function serve(load: ReturningLoad) {
  const newPlanner = () =>
    new Planner(view({
      replicasOf: () => DECODES,
      scheduling: { ...NO_SCHEDULING, bookedReturns: load.bookedReturns },
    }));
  let planner = newPlanner();
  const callers: ReturningCaller[] = [];
  const byId = new Map<string, ReturningCaller>();
  const runs: { id: string; endsAt: number }[] = [];
  const retries: { caller: ReturningCaller; at: number }[] = [];
  const idleAt = new Map<number, number>();

  const send = (caller: ReturningCaller, now: number) => {
    caller.sentAt.push(now);
    ask(caller, now);
  };
  const ask = (caller: ReturningCaller, now: number) => {
    const id = `${caller.key}/${caller.sentAt.length}`;
    byId.set(id, caller);
    const deadlineMs = caller.firstAt + DEADLINE_MS - now;
    planner.enqueue(
      "h",
      planRequest(id, {
        key: caller.key,
        tokens: 250,
        slackMs: OBJECTIVE_MS,
        patienceMs: deadlineMs,
        deadlineMs,
        longestRetryMs: deadlineMs / 3,
      }),
      now,
    );
  };
  const receive = (message: PlannerMessage, now: number) => {
    const caller = message.type === "ping" ? undefined : byId.get(message.id);
    if (message.type === "ping" || !caller) return;
    if (message.type === "grant") {
      caller.servedAt = now;
      runs.push({ id: message.id, endsAt: now + LIFETIME_MS });
      return;
    }
    const attempts = caller.refusedAt.push(now);
    const delayMs = load.returning(
      caller,
      message.retryAfterMs ?? 1000,
      attempts,
    );
    if (delayMs !== undefined) retries.push({ caller, at: now + delayMs });
  };

  let due = 0;
  for (let now = 0; now < load.untilMs; now += STEP_MS) {
    if (now === load.plannerLostAt) {
      planner = newPlanner();
      for (const caller of callers.filter(isWaiting)) ask(caller, now);
    }
    for (due += load.rate(now) * STEP_MS / 1000; due >= 1; due -= 1) {
      const key = `k${callers.length}`;
      callers.push({ key, firstAt: now, sentAt: [], refusedAt: [] });
      send(callers[callers.length - 1] as ReturningCaller, now);
    }
    for (const retry of retries.filter(({ at }) => at <= now)) {
      retries.splice(retries.indexOf(retry), 1);
      send(retry.caller, now);
    }
    for (const run of runs.filter(({ endsAt }) => endsAt <= now)) {
      runs.splice(runs.indexOf(run), 1);
      planner.report({ type: "progress", id: run.id, stage: "answered" }, now);
    }
    for (const message of messages(planner, now)) receive(message, now);
    idleAt.set(now, 1 - runs.length / (DECODES.length * 4));
  }
  return { callers, idleAt };
}

function isWaiting({ sentAt, refusedAt, servedAt }: ReturningCaller): boolean {
  return servedAt === undefined && sentAt.length > refusedAt.length;
}

/**
 * What callers got: in time at the first attempt 1; told early to come back,
 * and in time then, 0.6; later 0.2; refused more than once -0.3.
 */
export function worthOf(callers: readonly ReturningCaller[]): number {
  const worths = callers.map<number>((caller) => {
    const { firstAt, sentAt, refusedAt, servedAt } = caller;
    if (servedAt === undefined) return refusedAt.length > 1 ? -0.3 : 0;
    if (servedAt <= firstAt + OBJECTIVE_MS) return 1;
    const lastSentAt = sentAt[sentAt.length - 1] ?? firstAt;
    const isInTime = servedAt <= lastSentAt + OBJECTIVE_MS;
    const wasTold = (refusedAt[0] ?? 0) <= firstAt + OBJECTIVE_MS / 4;
    return refusedAt.length === 1 && wasTold && isInTime ? 0.6 : 0.2;
  });
  return worths.reduce((sum, worth) => sum + worth, 0) / callers.length;
}
