/** Measured durations of the work at the replicas of one service. */
import type { Milliseconds } from "../../util/units.ts";
import {
  INITIAL_CALL_MS,
  INITIAL_EVENT_MS,
  INITIAL_FIRST_EVENT_MS,
} from "./replica_rates.ts";
import { type RunPart, RunWatch } from "./run_watch.ts";
import { SpeedModel, type SpeedSample, Work } from "./speed_model.ts";

/** Events of a sample that counts fully. */
const FULL_SAMPLE_EVENTS = 5;
/** The fixed part of a prefill's time, in prompt tokens. */
const PREFILL_BASE_TOKENS = 1500;
/** Slowness, as a logarithm, up to which a sample is usual. */
const USUAL_SLOWNESS = Math.log(2);
/** Decay of the earlier runs in the events for each output token. */
const EVENTS_DECAY = 0.98;
/** Tokens of answered runs before the events for each token are known. */
const MIN_TOKENS = 100;

/** Expected times at one replica. */
export type ReplicaTimes = {
  /** From one output token to the next. */
  readonly tokenMs: Milliseconds;
  /** From the send to a decode replica to its first event. */
  readonly firstEventMs: Milliseconds;
  /** Of a plain request in a free slot. */
  readonly callMs: Milliseconds;
};

/** Times that are assumed until some are measured. */
export const INITIAL_TIMES: ReplicaTimes = {
  tokenMs: INITIAL_EVENT_MS,
  firstEventMs: INITIAL_FIRST_EVENT_MS,
  callMs: INITIAL_CALL_MS,
};

/** Speeds of the replicas of one service. */
export class ServiceRates {
  /** Times of decodes, prefills and calls, which have one speed a replica. */
  readonly speeds = new SpeedModel();
  /** Times to the first event, which depend on the network as well. */
  readonly firstEvents = new SpeedModel();
  /** Its runs in progress. */
  readonly runs = new RunWatch();
  /** When its replicas were last compared. */
  comparedAt: Milliseconds = -Infinity;
  /** Replicas that are ejected or failed lately. */
  readonly suspects = new Set<string>();
  #events = 0;
  #tokens = 0;

  /** Records the events of an answered run, and its expected tokens. */
  noteEvents(events: number, outputTokens: number): void {
    if (events === 0 || outputTokens <= 0) return;
    this.#events = this.#events * EVENTS_DECAY + events;
    this.#tokens = this.#tokens * EVENTS_DECAY + outputTokens;
  }

  /** Events of a run for each expected token; undefined until known. */
  get eventsPerToken(): number | undefined {
    return this.#tokens < MIN_TOKENS ? undefined : this.#events / this.#tokens;
  }

  /** Adopts the events for each token, unless they are known. */
  adoptEventsPerToken(eventsPerToken: number): void {
    if (this.#tokens >= MIN_TOKENS) return;
    this.#tokens = MIN_TOKENS;
    this.#events = MIN_TOKENS * eventsPerToken;
  }

  /** Records the time from a send to the first event. */
  noteFirstEvent(
    incarnation: string,
    unitMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const sample = { work: Work.firstEvent, unitMs, weight: 1 };
    this.firstEvents.add(incarnation, sample, now);
  }

  /** Expected times at a replica. */
  timesOf(incarnation: string, now: Milliseconds): ReplicaTimes {
    const { speeds, firstEvents } = this;
    const eventMs = speeds.unitMs(Work.decode, incarnation, now);
    const { eventsPerToken } = this;
    const isKnown = eventMs !== undefined && eventsPerToken !== undefined;
    return {
      tokenMs: isKnown ? eventMs * eventsPerToken : INITIAL_TIMES.tokenMs,
      firstEventMs: firstEvents.unitMs(Work.firstEvent, incarnation, now) ??
        INITIAL_TIMES.firstEventMs,
      callMs: speeds.unitMs(Work.call, incarnation, now) ??
        INITIAL_TIMES.callMs,
    };
  }

  /** Expected time of a prefill; undefined before enough samples. */
  prefillMs(
    incarnation: string,
    promptTokens: number,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const tokenMs = this.speeds.unitMs(Work.prefill, incarnation, now);
    if (tokenMs === undefined) return undefined;
    return tokenMs * (promptTokens + PREFILL_BASE_TOKENS);
  }

  /**
   * Whether the work took no longer than is usual for the pool, or for the
   * replica if that is slower; true without a sample.
   */
  isGood(
    incarnation: string,
    sample: SpeedSample | undefined,
    now: Milliseconds,
  ): boolean {
    if (!sample) return true;
    const usual = this.speeds.steadySlowness(incarnation, now);
    return this.speeds.deviation(sample, now) - Math.max(0, usual) <
      USUAL_SLOWNESS;
  }

  /** The sample of a part of a run. */
  decodeSample({ events, ms }: RunPart): SpeedSample {
    const weight = Math.min(1, events / FULL_SAMPLE_EVENTS);
    return { work: Work.decode, unitMs: ms / events, weight };
  }

  /** The sample of a plain call; a full replica queues requests. */
  callSample(runMs: Milliseconds, requestsPerSlot: number): SpeedSample {
    const unitMs = runMs / Math.max(1, requestsPerSlot);
    return { work: Work.call, unitMs, weight: 1 };
  }

  /** The sample of a prefill after which `promptTokens` were processed. */
  prefillSample(spentMs: Milliseconds, promptTokens: number): SpeedSample {
    const unitMs = spentMs / (promptTokens + PREFILL_BASE_TOKENS);
    return { work: Work.prefill, unitMs, weight: 1 };
  }
}
