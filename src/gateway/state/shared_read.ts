/** Shares a read among callers that need it at about the same time. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * Time for which a read is shared: many streams are taken up at once after a
 * host has ended.
 */
const MAX_AGE_MS = 250;

/** A read whose result later callers share for a short time. */
export class SharedRead<Value> {
  readonly #read: () => Promise<Value>;
  #startedAt: Milliseconds = -Infinity;
  #value: Promise<Value> | undefined;

  constructor(read: () => Promise<Value>) {
    this.#read = read;
  }

  /** The result of a read that began shortly before `now`, or begins now. */
  get(now: Milliseconds): Promise<Value> {
    const isRecent = now - this.#startedAt <= MAX_AGE_MS;
    if (this.#value && isRecent) return this.#value;
    this.#startedAt = now;
    this.#value = this.#read();
    return this.#value;
  }
}
