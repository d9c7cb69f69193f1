/** What peers last answered about the replicas of each data hall. */
import type { Milliseconds } from "../../util/units.ts";

/** An answer is used again for this time. */
const VERDICT_TTL_MS = 300;
/** Number of equal answers in a row after which the next one is assumed. */
const MIN_EQUAL_ANSWERS = 2;

/** What peers say about a replica that this host does not reach. */
export type PeerVerdict =
  | "reached"
  /** Those that answered don't reach it either. */
  | "notReached"
  /** None answered in time. */
  | "unknown";

type Verdict = {
  readonly value: PeerVerdict;
  readonly at: Milliseconds;
  readonly equalAnswers: number;
};

/** Recent answers of peers by data hall. */
export class HallVerdicts {
  readonly #verdicts = new Map<string, Verdict>();

  /** Records what peers say about a replica of the hall. */
  note(hall: string, value: PeerVerdict, now: Milliseconds): void {
    const before = this.#verdicts.get(hall);
    const isEqual = before?.value === value &&
      now - before.at < VERDICT_TTL_MS;
    const equalAnswers = isEqual ? before.equalAnswers + 1 : 1;
    this.#verdicts.set(hall, { value, at: now, equalAnswers });
  }

  /** What peers answered lately; undefined if that is not known. */
  latest(hall: string, now: Milliseconds): PeerVerdict | undefined {
    const verdict = this.#verdicts.get(hall);
    if (!verdict || now - verdict.at >= VERDICT_TTL_MS) return undefined;
    const isKnown = verdict.equalAnswers >= MIN_EQUAL_ANSWERS;
    return isKnown ? verdict.value : undefined;
  }
}
