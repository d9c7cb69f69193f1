/** The KV cache memory of a model engine's replica. */
import type { Milliseconds } from "../../src/util/units.ts";

/** Memory in tokens, reserved for a time or held by runs. */
export class TokenMemory {
  readonly #capacity: number;
  readonly #reservations = new Map<
    string,
    { readonly tokens: number; readonly expiresAt: Milliseconds }
  >();
  readonly #held = new Map<string, number>();
  #count = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Reserves tokens until a time; undefined if they aren't free. */
  reserve(
    tokens: number,
    expiresAt: Milliseconds,
    now: Milliseconds,
  ): string | undefined {
    for (const [id, reservation] of this.#reservations) {
      if (reservation.expiresAt <= now) this.#reservations.delete(id);
    }
    if (this.#used() + tokens > this.#capacity) return undefined;
    this.#count += 1;
    const id = `m${this.#count}`;
    this.#reservations.set(id, { tokens, expiresAt });
    return id;
  }

  /**
   * Holds tokens for a run, which uses up its reservation; false if they
   * aren't free.
   */
  hold({ key, tokens, reservation }: {
    readonly key: string;
    readonly tokens: number;
    readonly reservation: string;
  }): boolean {
    this.#reservations.delete(reservation);
    if (this.#used() + tokens > this.#capacity) return false;
    this.#held.set(key, tokens);
    return true;
  }

  /** Frees a reservation, or what a run holds. */
  release(key: string): void {
    this.#reservations.delete(key);
    this.#held.delete(key);
  }

  #used(): number {
    const reserved = [...this.#reservations.values()]
      .reduce((sum, { tokens }) => sum + tokens, 0);
    return [...this.#held.values()].reduce((sum, n) => sum + n, reserved);
  }
}
