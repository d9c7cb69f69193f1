/** Forecasts of waits at the pools of all services, and who was refused. */
import type { Milliseconds } from "../../util/units.ts";
import { Admission } from "./admission.ts";
import type { Waiting } from "./ask_queue.ts";
import type { PlanAsk } from "./messages.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";

/**
 * A wait is forecast anew after this time, for replicas come and go: often
 * enough that what can't be served is known within an eighth of the time that
 * callers wait for a first event (2 s at least).
 */
const FORECAST_MS = 250;
/**
 * Time from the end of a prefill to the caller's first event, with a margin:
 * under load every request is served near the last moment that it can be.
 */
const FIRST_EVENT_MS = 150;

/** Time from a grant to the caller's first event, if the replicas are idle. */
export function firstEventMs(
  pool: Pick<PoolSnapshot, "prefillMs">,
  { promptTokens }: Pick<PlanAsk, "promptTokens">,
): Milliseconds {
  return pool.prefillMs(promptTokens) + FIRST_EVENT_MS;
}

/** The forecasts of one planner. */
export class Forecasts {
  readonly #random: () => number;
  readonly #admissions = new Map<string, Admission>();

  constructor(random: () => number) {
    this.#random = random;
  }

  /** A request asks; gives whether it was refused a while ago. */
  noteAsk(ask: PlanAsk, now: Milliseconds): boolean {
    const admission = this.#admissionOf(ask.service);
    admission.noteArrival(ask, now);
    return admission.cameBack(ask.key, now);
  }

  /** A place of the service has ended after `lifeMs`. */
  noteEnd(service: string, lifeMs: Milliseconds): void {
    this.#admissionOf(service).noteEnd(lifeMs);
  }

  /**
   * When a request is to come back that can't begin before its caller gives up;
   * undefined: it can, or it isn't known by now.
   */
  comeBackMs(
    one: Waiting,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Milliseconds | undefined {
    if (one.begun || one.returned || now < one.forecastAt) return undefined;
    one.forecastAt = now + FORECAST_MS;
    const { service, tokens, key, longestRetryMs } = one.ask;
    const admission = this.#admissionOf(service);
    const { waitMs, lateWaitMs } = admission.forecast({
      tokens: tokens + pool.ahead.tokens,
      held: pool.held,
      memory: pool.awaitedMemory,
      requests: 1 + pool.ahead.requests,
      startRate: pool.startRate,
      promptTokens: pool.promptsBefore,
      readingRate: pool.readingRate,
    }, now);
    const isOnTime = now + waitMs + firstEventMs(pool, one.ask) <= one.dueAt;
    const wait = isOnTime ? waitMs : lateWaitMs;
    if (now + wait <= one.giveUpAt) return undefined;
    return admission.refuse({ key, waitMs: wait, longestRetryMs }, now);
  }

  /** Each service has lives of its own. */
  #admissionOf(service: string): Admission {
    const known = this.#admissions.get(service);
    if (known) return known;
    const admission = new Admission(this.#random);
    this.#admissions.set(service, admission);
    return admission;
  }
}
