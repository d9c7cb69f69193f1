/**
 * Where prompts were read lately. A replica keeps what it has read until it
 * needs the memory, so a request that comes back is cheapest served there.
 */
import type { Milliseconds } from "../../util/units.ts";

/**
 * A decode replica is believed to keep a prompt for so long after it was read:
 * about the time of the longest answers.
 */
const DECODE_KEEPS_MS = 9000;
/** A prefill replica reads a memory full of prompts in little over a second. */
const PREFILL_KEEPS_MS = 1200;
/** Prompts that are remembered at most. */
const MOST_PROMPTS = 2000;

/** Replicas that keep a prompt, by incarnation. */
export type PromptPlace = {
  readonly decode: string;
  /** Absent when the decode replica read the prompt itself. */
  readonly prefill?: string;
};

type Remembered = PromptPlace & { readonly readAt: Milliseconds };

/** Prompts by the name that all attempts of a request share. */
export class PromptMemory {
  readonly #prompts = new Map<string, Remembered>();

  /** The prompt was read; an empty key names none. */
  note(key: string, place: PromptPlace, now: Milliseconds): void {
    if (key === "") return;
    this.#prompts.delete(key);
    this.#prompts.set(key, { ...place, readAt: now });
    if (this.#prompts.size <= MOST_PROMPTS) return;
    const oldest = this.#prompts.keys().next();
    if (!oldest.done) this.#prompts.delete(oldest.value);
  }

  /** No replica is known to keep the prompt. */
  forget(key: string): void {
    this.#prompts.delete(key);
  }

  /** The decode replica that probably keeps the prompt. */
  decodeOf(key: string, now: Milliseconds): string | undefined {
    const known = this.#prompts.get(key);
    if (!known || now - known.readAt > DECODE_KEEPS_MS) return undefined;
    return known.decode;
  }

  /** The prefill replica that probably keeps the prompt. */
  prefillOf(key: string, now: Milliseconds): string | undefined {
    const known = this.#prompts.get(key);
    if (!known || now - known.readAt > PREFILL_KEEPS_MS) return undefined;
    return known.prefill;
  }
}
