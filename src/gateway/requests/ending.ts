/** How a request ends without a whole answer of a replica. */
import { type GatewayError, truthfulError } from "../answers.ts";
import type { EventFields } from "../observe/event_log.ts";
import type { Attempts } from "./attempts.ts";
import type { PlaceRefusal } from "./placement.ts";
import type { Reply } from "./request.ts";
import type { RequestJournal } from "./request_journal.ts";

/** When to come back, and what a refusal was decided on. */
export type GiveUp = {
  readonly reason?: string | undefined;
  readonly seconds?: number | undefined;
  readonly basis?: EventFields | undefined;
};

/** What an ending is told by. */
export type EndingSource = {
  readonly reply: Reply;
  readonly attempts: Attempts;
  readonly journal: RequestJournal;
};

/** Tells a caller that there is no answer, or no more of it. */
export class Ending {
  readonly #source: EndingSource;
  #headSent = false;

  constructor(source: EndingSource) {
    this.#source = source;
  }

  /** The caller has the head of an answer. */
  get headSent(): boolean {
    return this.#headSent;
  }

  /** Passes on the head of a replica's answer, once. */
  head(status: number, rawHeaders: readonly string[]): void {
    if (this.#headSent) return;
    this.#headSent = true;
    this.#source.reply.head(status, rawHeaders);
  }

  /** Gives up, with no more than may truthfully be said of what ran. */
  giveUp(error: GatewayError, { reason, seconds, basis }: GiveUp): void {
    const { reply, attempts, journal } = this.#source;
    const told = truthfulError(error, attempts.mayHaveRun);
    const retryAfter = told === error ? seconds : undefined;
    const ending = { error: told, reason, retry_after: retryAfter };
    if (this.#headSent) {
      journal.ended("broken", ending);
      reply.breakOff();
    } else {
      const name = attempts.mayHaveRun ? "failed" : "refused";
      journal.ended(name, { ...ending, ...basis });
      reply.fail(told, retryAfter);
    }
  }
}

/** A refusal of a place, as the caller is told. */
export function refusalOf({ retryAfterMs, basis }: PlaceRefusal): GiveUp {
  const seconds = retryAfterMs === undefined
    ? undefined
    : Math.round(retryAfterMs / 100) / 10;
  return { seconds, basis };
}
