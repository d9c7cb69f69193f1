/** The responses of which this host still has bytes to send. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { onceClosed } from "./once_closed.ts";
import type { CallerReply } from "./reply.ts";

/** Replies from the arrival of their requests until all bytes are sent. */
export class OpenReplies {
  readonly #replies = new Map<ServerResponse, CallerReply>();

  /** Adds the reply to a request. */
  add(
    reply: CallerReply,
    { incoming, response }: {
      readonly incoming: IncomingMessage;
      readonly response: ServerResponse;
    },
  ): void {
    this.#replies.set(response, reply);
    onceClosed(incoming, response, () => this.#replies.delete(response));
  }

  /** Whether a response has ended, but its last bytes have not been sent. */
  get hasUnsent(): boolean {
    return [...this.#replies.keys()].some((response) => response.writableEnded);
  }

  /** Aborts the responses that have ended, but have not been sent. */
  abortUnsent(): void {
    for (const [response, reply] of this.#replies) {
      if (response.writableEnded) reply.abort();
    }
  }

  /** Resets the connections of the responses that have been aborted. */
  resetAborted(): void {
    for (const reply of this.#replies.values()) reply.resetAborted();
  }
}
