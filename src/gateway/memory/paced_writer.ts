/**
 * Forwards an answer at the pace at which the caller reads it. A caller who
 * reads slowly holds up only its own answer; one who doesn't read for some time
 * loses it, which frees the replica before that cuts the answer off itself.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Reply } from "../requests/request.ts";
import { type ByteBudget, HeldFor } from "./byte_budget.ts";

/** The answer that is being received. */
export type PacedSource = {
  pause(): void;
  resume(): void;
};

/** Options of {@link PacedWriter}. */
export type PacedWriterOptions = {
  readonly reply: Pick<Reply, "write" | "drained">;
  readonly source: PacedSource;
  readonly clock: Pick<Clock, "after">;
  readonly budget: ByteBudget;
  readonly isMostUrgent: boolean;
  /** How long a caller may leave an answer unread; Infinity: for ever. */
  readonly unreadTimeoutMs: Milliseconds;
  /** Called once when the caller reads too slowly. */
  readonly onUnread: () => void;
};

/** Writes one answer to its caller. */
export class PacedWriter {
  readonly #options: PacedWriterOptions;
  /** Bytes held since the caller stopped reading. */
  #heldBytes = 0;
  #isWaiting = false;
  #isEnded = false;

  constructor(options: PacedWriterOptions) {
    this.#options = options;
  }

  /** Forwards a part of the answer. */
  write(bytes: Buffer): void {
    if (this.#isEnded) return;
    const { reply, source } = this.#options;
    if (reply.write(bytes)) return;
    source.pause();
    if (!this.#hold(bytes.length)) return this.#endUnread();
    if (!this.#isWaiting) void this.#waitUntilRead();
  }

  /** Ends the forwarding. */
  end(): void {
    this.#isEnded = true;
    this.#release();
  }

  async #waitUntilRead(): Promise<void> {
    const { reply, source, clock, unreadTimeoutMs } = this.#options;
    this.#isWaiting = true;
    const cancelTimeout = Number.isFinite(unreadTimeoutMs)
      ? clock.after(unreadTimeoutMs, () => this.#endUnread())
      : () => undefined;
    await reply.drained();
    cancelTimeout();
    this.#isWaiting = false;
    this.#release();
    source.resume();
  }

  #hold(bytes: number): boolean {
    const { budget, isMostUrgent } = this.#options;
    if (!budget.tryHold(HeldFor.answers, bytes, { isMostUrgent })) return false;
    this.#heldBytes += bytes;
    return true;
  }

  #release(): void {
    this.#options.budget.release(HeldFor.answers, this.#heldBytes);
    this.#heldBytes = 0;
  }

  #endUnread(): void {
    if (this.#isEnded) return;
    this.end();
    this.#options.onUnread();
  }
}
