/** Measured durations of the work at the replicas of one service. */
import type { Milliseconds } from "../../util/units.ts";
import { INITIAL_EVENT_MS } from "./replica_rates.ts";
import type { RunPart } from "./run_watch.ts";
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

/** Speeds of the replicas of one service. */
export class ServiceRates {
  /** Times of decodes, prefills and calls, which have one speed a replica. */
  readonly speeds = new SpeedModel();
  /** Times to the first event, which depend on the network as well. */
  readonly firstEvents = new SpeedModel();
  /** When its replicas were last compared. */
  comparedAt: Milliseconds = -Infinity;
  #events = 0;
  #tokens = 0;

  /** Records the events of an answered run, and its expected tokens. */
  noteEvents(events: number, outputTokens: number): void {
    if (events === 0 || outputTokens <= 0) return;
    this.#events = this.#events * EVENTS_DECAY + events;
    this.#tokens = this.#tokens * EVENTS_DECAY + outputTokens;
  }

  /** Expected time from the first event to the end of a run. */
  runMs(
    incarnation: string,
    outputTokens: number,
    now: Milliseconds,
  ): Milliseconds {
    const eventMs = this.speeds.unitMs(Work.decode, incarnation, now);
    if (eventMs === undefined || this.#tokens < MIN_TOKENS) {
      return outputTokens * INITIAL_EVENT_MS;
    }
    return outputTokens * eventMs * this.#events / this.#tokens;
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

  /** Whether the work took no longer than usual; true without a sample. */
  isGood(sample: SpeedSample | undefined, now: Milliseconds): boolean {
    if (!sample) return true;
    return this.speeds.deviation(sample, now) < USUAL_SLOWNESS;
  }

  /** The sample of a part of a run. */
  decodeSample({ events, ms }: RunPart): SpeedSample {
    const weight = Math.min(1, events / FULL_SAMPLE_EVENTS);
    return { work: Work.decode, unitMs: ms / events, weight };
  }

  /** The sample of a prefill after which `promptTokens` were processed. */
  prefillSample(spentMs: Milliseconds, promptTokens: number): SpeedSample {
    const unitMs = spentMs / (promptTokens + PREFILL_BASE_TOKENS);
    return { work: Work.prefill, unitMs, weight: 1 };
  }
}
