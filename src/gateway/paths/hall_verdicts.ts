/** What peers last answered about the replicas of each data hall. */
import type { Milliseconds } from "../../util/units.ts";

/** An answer is used again for this time. */
const VERDICT_TTL_MS = 1000;
/** Number of equal answers in a row after which the next one is assumed. */
const MIN_EQUAL_ANSWERS = 2;

type Verdict = {
  readonly isReached: boolean;
  readonly at: Milliseconds;
  readonly equalAnswers: number;
};

/** Recent answers of peers by data hall. */
export class HallVerdicts {
  readonly #verdicts = new Map<string, Verdict>();

  /** Records whether a peer reaches a replica of the hall. */
  note(hall: string, isReached: boolean, now: Milliseconds): void {
    const before = this.#verdicts.get(hall);
    const isEqual = before?.isReached === isReached &&
      now - before.at < VERDICT_TTL_MS;
    const equalAnswers = isEqual ? before.equalAnswers + 1 : 1;
    this.#verdicts.set(hall, { isReached, at: now, equalAnswers });
  }

  /** What peers answered lately; undefined if that is not known. */
  latest(hall: string, now: Milliseconds): boolean | undefined {
    const verdict = this.#verdicts.get(hall);
    if (!verdict || now - verdict.at >= VERDICT_TTL_MS) return undefined;
    const isKnown = verdict.equalAnswers >= MIN_EQUAL_ANSWERS;
    return isKnown ? verdict.isReached : undefined;
  }
}
