/** Writes response headers and errors to the caller. */
import { errorForCaller, type GatewayError } from "../answers.ts";
import type { EventFields } from "../observe/event_log.ts";
import type { Attempts } from "./attempts.ts";
import type { PlacementRefusal } from "./placement.ts";
import type { Reply, ResponseHead } from "./request.ts";
import type { RequestJournal } from "./request_journal.ts";

/** Details of a failed request, for the caller and for the log. */
export type Failure = {
  readonly reason?: string | undefined;
  readonly retryAfterSeconds?: number | undefined;
  readonly basis?: EventFields | undefined;
};

/** Options of {@link ReplyWriter}. */
export type ReplyWriterOptions = {
  readonly reply: Reply;
  readonly attempts: Attempts;
  readonly journal: RequestJournal;
};

/** Writes response headers at most once, and ends requests that fail. */
export class ReplyWriter {
  readonly #options: ReplyWriterOptions;
  #headersSent = false;

  constructor(options: ReplyWriterOptions) {
    this.#options = options;
  }

  /** Whether the caller has received response headers. */
  get headersSent(): boolean {
    return this.#headersSent;
  }

  /** Forwards the headers of a replica's response; later calls do nothing. */
  writeHead(head: ResponseHead): void {
    if (this.headersSent) return;
    this.#options.reply.writeHead(head);
    this.#headersSent = true;
  }

  /**
   * Ends the request with an error. The error is replaced by a weaker one if it
   * claims that nothing ran while a send may have run.
   */
  fail(
    error: GatewayError,
    { reason, retryAfterSeconds, basis }: Failure,
  ): void {
    const { reply, attempts, journal } = this.#options;
    const sent = errorForCaller(error, attempts.mayHaveRun);
    const retryAfterSent = sent === error ? retryAfterSeconds : undefined;
    const fields = {
      error: sent,
      reason: reason ?? (sent === error ? undefined : error),
      retry_after: retryAfterSent,
    };
    if (this.headersSent) {
      journal.ended("broken", fields);
      reply.abort();
    } else {
      const name = attempts.mayHaveRun ? "failed" : "refused";
      journal.ended(name, { ...fields, ...basis });
      reply.fail(sent, retryAfterSent);
    }
  }
}

/** Converts a placement refusal to a failure. */
export function failureOf(
  { retryAfterMs, basis }: PlacementRefusal,
): Failure {
  const retryAfterSeconds = retryAfterMs === undefined
    ? undefined
    : Math.round(retryAfterMs / 100) / 10;
  return { retryAfterSeconds, basis };
}
