/**
 * Calls of a plain service in virtual time: the planner, replicas that queue
 * calls, and hosts that retry.
 */
import { xoroshiro128plus } from "pure-rand";
import { Replica } from "../../../src/gateway/replicas/replica.ts";
import { RetryBudget } from "../../../src/gateway/retries/retry_budget.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import type { PlanGrant } from "../../../src/gateway/planning/messages.ts";
import { randomInt } from "../../../src/util/random.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { replicaEntry } from "../replica_entry.ts";
import type { PlainLoad, SimulatedCall } from "./plain_load.ts";
import { messages, planRequest, view } from "./planner_rig.ts";

const SLOTS = 6;
const HOSTS = 20;
const ATTEMPTS = 2;
const MAX_RANDOM = 1 << 24;

/** What {@link serveLoad} saw. */
export type ServedLoad = {
  readonly calls: readonly SimulatedCall[];
  readonly events: readonly string[];
  readonly counts: ReadonlyMap<string, number>;
  /** Failures that would pause replicas. */
  readonly failuresNoted: number;
  /** Sends to each replica. */
  readonly sendsTo: readonly number[];
};

type Attempt = {
  readonly id: string;
  readonly call: SimulatedCall;
  readonly replica: number;
  readonly grant: PlanGrant;
  readonly sentAt: number;
  endsAt: number;
};

/** Serves a load by the planner's assignments; the same for the same seed. */
export function serveLoad(load: PlainLoad, seed = 1): ServedLoad {
  return new Simulation(load, seed).run();
}

class Simulation {
  readonly #load: PlainLoad;
  readonly #random: () => number;
  readonly #planner: Planner;
  readonly #budget: RetryBudget;
  readonly #calls: SimulatedCall[] = [];
  readonly #events: string[] = [];
  readonly #counts = new Map<string, number>();
  readonly #pending = new Map<string, SimulatedCall>();
  readonly #running: Attempt[] = [];
  readonly #seconds: { readonly attempt: Attempt; readonly at: number }[] = [];
  readonly #queues: Attempt[][];
  readonly #busy: number[];
  readonly #sendsTo: number[];
  #failuresNoted = 0;
  #now = 0;

  constructor(load: PlainLoad, seed: number) {
    this.#load = load;
    const generator = xoroshiro128plus(seed);
    this.#random = () => randomInt(generator, MAX_RANDOM) / MAX_RANDOM;
    const numbers = Array.from({ length: load.replicas }, () => 0);
    const entries = numbers.map((_, index) =>
      replicaEntry(String(index), { slots: SLOTS, hall: `hall${index % 3}` })
    );
    const states = entries.map((entry) => new Replica(entry));
    const stateOf = (incarnation: string) =>
      load.pauses ? states[Number(incarnation)] : undefined;
    this.#queues = numbers.map(() => []);
    this.#busy = [...numbers];
    this.#sendsTo = [...numbers];
    this.#budget = new RetryBudget(
      { windowMs: 10_000, ...load.budget },
      -10_000,
    );
    this.#planner = new Planner(view({
      replicasOf: () => entries,
      memoryOf: () => 0,
      random: this.#random,
      scheduling: { ...NO_SCHEDULING, ...load.scheduling },
      isPaused: (incarnation) =>
        stateOf(incarnation)?.isPaused(this.#now) ?? false,
      noteTrial: (incarnation, now) => stateOf(incarnation)?.noteTrial(now),
      noteSuccess: (incarnation) => stateOf(incarnation)?.noteSuccess(),
      noteFailure: (incarnation, now) => {
        this.#failuresNoted += 1;
        stateOf(incarnation)?.noteFailure(now, false);
      },
      events: { note: (name) => void this.#events.push(name) },
      metrics: {
        count: (name) =>
          void this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1),
      },
    }));
  }

  run(): ServedLoad {
    const { seconds, perSecond } = this.#load;
    for (let now = 0; now < (seconds + 2) * 1000; now++) {
      this.#now = now;
      if (now < seconds * 1000 && this.#random() < perSecond / 1000) {
        this.#arrive(now);
      }
      for (const message of messages(this.#planner, now)) {
        if (message.type === "ping") continue;
        const call = this.#pending.get(message.id);
        this.#pending.delete(message.id);
        if (!call) continue;
        if (call.endedAt !== undefined) {
          // The first attempt was answered in the meantime.
          const { id } = message;
          this.#planner.report({ type: "progress", id, stage: "ended" }, now);
          continue;
        }
        if (message.type === "grant") this.#send(call, message, now);
        else if (!this.#isRunning(call)) this.#end(call, true, now);
      }
      this.#startSeconds(now);
      this.#finish(now);
    }
    return {
      calls: this.#calls,
      events: this.#events,
      counts: this.#counts,
      failuresNoted: this.#failuresNoted,
      sendsTo: this.#sendsTo,
    };
  }

  #arrive(now: number): void {
    const { routes, workMs } = this.#load;
    const index = this.#calls.length;
    const route = routes[Math.floor(this.#random() * routes.length)];
    if (!route) return;
    const call: SimulatedCall = {
      index,
      route: route.name,
      repeatable: route.repeatable,
      at: now,
      workMs: workMs(this.#random),
      luck: this.#random(),
      sends: 0,
    };
    this.#calls.push(call);
    this.#budget.noteRequest("s", now);
    this.#request(call, [], now);
  }

  #request(
    call: SimulatedCall,
    excluded: readonly string[],
    now: number,
    isSecond = false,
  ): void {
    const id = `${call.index}/${call.sends}`;
    const isRetry = excluded.length > 0;
    const request = planRequest(id, {
      tokens: 1,
      promptTokens: 0,
      outputTokens: 0,
      hall: `hall${call.index % 3}`,
      begun: isRetry,
      excluded: [...excluded],
      route: call.route,
      ...(call.repeatable ? { repeatable: true as const } : {}),
      ...(isRetry && !isSecond ? { afterError: true as const } : {}),
      ...(isSecond ? { second: true as const } : {}),
    });
    this.#pending.set(id, call);
    this.#planner.enqueue(`host${call.index % HOSTS}`, request, now);
  }

  #send(call: SimulatedCall, grant: PlanGrant, now: number): void {
    const replica = Number(grant.decode);
    call.sends += 1;
    this.#sendsTo[replica] = (this.#sendsTo[replica] ?? 0) + 1;
    const { id, secondAfterMs } = grant;
    const attempt = { id, call, replica, grant, sentAt: now, endsAt: 0 };
    this.#queues[replica]?.push(attempt);
    this.#start(replica, now);
    if (secondAfterMs === undefined || !call.repeatable) return;
    this.#seconds.push({ attempt, at: now + secondAfterMs });
  }

  /** Requests second attempts of the calls that are late. */
  #startSeconds(now: number): void {
    const due = this.#seconds.filter(({ at }) => at <= now);
    for (const second of due) {
      this.#seconds.splice(this.#seconds.indexOf(second), 1);
      const { call, replica } = second.attempt;
      const mayStart = this.#attemptsOf(call).includes(second.attempt) &&
        call.sends < ATTEMPTS && this.#budget.acquire("s", 1, now, 0.5);
      if (mayStart) this.#request(call, [String(replica)], now, true);
    }
  }

  #attemptsOf(call: SimulatedCall): Attempt[] {
    return [...this.#running, ...this.#queues.flat()]
      .filter((attempt) => attempt.call === call);
  }

  #isRunning(call: SimulatedCall): boolean {
    return this.#attemptsOf(call).length > 0;
  }

  /** Aborts an attempt; the replica notices that. */
  #abort(attempt: Attempt, now: number): void {
    const { id, replica, sentAt } = attempt;
    const queue = this.#queues[replica] ?? [];
    if (queue.includes(attempt)) queue.splice(queue.indexOf(attempt), 1);
    else this.#release(attempt, now);
    const runMs = now - sentAt;
    this.#planner.report(
      { type: "progress", id, stage: "ended", runMs },
      now,
    );
  }

  #release(attempt: Attempt, now: number): void {
    const { replica } = attempt;
    this.#running.splice(this.#running.indexOf(attempt), 1);
    this.#busy[replica] = (this.#busy[replica] ?? 0) - 1;
    this.#start(replica, now);
  }

  #start(replica: number, now: number): void {
    const queue = this.#queues[replica] ?? [];
    while ((this.#busy[replica] ?? 0) < SLOTS) {
      const attempt = queue.shift();
      if (!attempt) return;
      const slowness = this.#load.slowness?.(replica, now) ?? 1;
      attempt.endsAt = now + Math.max(1, attempt.call.workMs * slowness);
      this.#busy[replica] = (this.#busy[replica] ?? 0) + 1;
      this.#running.push(attempt);
    }
  }

  #finish(now: number): void {
    for (const attempt of [...this.#running]) {
      // An attempt that was answered earlier may have ended it.
      if (attempt.endsAt > now || !this.#running.includes(attempt)) continue;
      this.#release(attempt, now);
      this.#answer(attempt, now);
    }
  }

  #answer({ id, call, replica, grant, sentAt }: Attempt, now: number): void {
    const isBroken = this.#load.breaks?.(call, replica, now) === true;
    const isError = isBroken ||
      this.#load.fails?.(call, replica, now) === true;
    const runMs = now - sentAt;
    this.#planner.report(
      isError
        ? {
          type: "progress",
          id,
          stage: "failed",
          ...(isBroken ? {} : { isError }),
        }
        : { type: "progress", id, stage: "answered", runMs },
      now,
    );
    const others = call.sends > 1 ? this.#attemptsOf(call) : [];
    if (isError && others.length > 0) return;
    for (const other of others) this.#abort(other, now);
    const isRetried = isError && call.repeatable && !grant.finalErrors &&
      call.sends < ATTEMPTS && this.#budget.acquire("s", 1, now);
    if (isRetried) this.#request(call, [String(replica)], now);
    else this.#end(call, isError, now);
  }

  #end(call: SimulatedCall, isError: boolean, now: number): void {
    call.endedAt = now;
    call.isError = isError;
  }
}
