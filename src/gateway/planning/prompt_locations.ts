/**
 * Tracks where prompts were prefilled recently. A replica caches a prompt until
 * it needs the memory, so a retry is served cheapest there.
 */
import type { Milliseconds } from "../../util/units.ts";

/**
 * How long a decode replica is assumed to cache a prompt: about the duration of
 * the longest responses.
 */
const DECODE_TTL_MS = 9000;
/**
 * How long a prefill replica is assumed to cache a prompt: it fills all of its
 * memory with prompts in little over a second.
 */
const PREFILL_TTL_MS = 1200;
/** Maximum number of prompts in the table. */
const MAX_PROMPTS = 2000;

/** Replicas that have a prompt cached, by incarnation. */
export type PromptLocation = {
  readonly decode: string;
  /** Absent after a local prefill. */
  readonly prefill?: string;
};

type TimedLocation = PromptLocation & { readonly prefilledAt: Milliseconds };

/** Prompts by the key that all attempts of a request share. */
export class PromptLocations {
  readonly #locations = new Map<string, TimedLocation>();

  /** Records a prefill; an empty key is ignored. */
  note(key: string, location: PromptLocation, now: Milliseconds): void {
    if (key === "") return;
    this.#locations.delete(key);
    this.#locations.set(key, { ...location, prefilledAt: now });
    if (this.#locations.size <= MAX_PROMPTS) return;
    const oldest = this.#locations.keys().next();
    if (!oldest.done) this.#locations.delete(oldest.value);
  }

  /** Removes the prompt from the table. */
  forget(key: string): void {
    this.#locations.delete(key);
  }

  /** The decode replica that probably has the prompt cached. */
  decodeOf(key: string, now: Milliseconds): string | undefined {
    const known = this.#locations.get(key);
    if (!known || now - known.prefilledAt > DECODE_TTL_MS) return undefined;
    return known.decode;
  }

  /** The prefill replica that probably has the prompt cached. */
  prefillOf(key: string, now: Milliseconds): string | undefined {
    const known = this.#locations.get(key);
    if (!known || now - known.prefilledAt > PREFILL_TTL_MS) return undefined;
    return known.prefill;
  }
}
