/**
 * Bounds the bytes that a host holds for its callers: request heads and bodies,
 * and answers that callers have not read yet. Without a bound, callers who send
 * or read slowly would use up the memory of the process.
 */

/** What bytes are held for. */
export const HeldFor = {
  /** Request bodies, until the request has ended. */
  bodies: "bodies",
  /** Parts of answers that callers have not read. */
  answers: "answers",
  /** Request heads, until the request has ended. */
  heads: "heads",
} as const;
/** One of the values of {@link HeldFor}. */
export type HeldFor = typeof HeldFor[keyof typeof HeldFor];

/**
 * Share of the budget that is open to requests that are not the most urgent, so
 * that these still find room when others have filled it.
 */
const LESS_URGENT_SHARE = 0.8;

/**
 * Share of the budget for heads of requests that are not the most urgent. Unlike
 * bodies, heads are objects of the JavaScript heap, whose limit is below the
 * memory of the process.
 */
const HEADS_SHARE = 0.25;

/** The bytes that one process may hold. */
export class ByteBudget {
  #capacity: number;
  readonly #held = new Map<HeldFor, number>();
  #total = 0;

  /** `capacity` is in bytes; Infinity: no bound. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Replaces the bound; what is held already stays held. */
  setCapacity(capacity: number): void {
    this.#capacity = capacity;
  }

  /** Bytes held for one use. */
  heldFor(use: HeldFor): number {
    return this.#held.get(use) ?? 0;
  }

  /** Holds bytes if the budget has room for them. */
  tryHold(
    use: HeldFor,
    bytes: number,
    { isMostUrgent }: { readonly isMostUrgent: boolean },
  ): boolean {
    const share = isMostUrgent ? 1 : LESS_URGENT_SHARE;
    if (this.#total + bytes > this.#capacity * share) return false;
    const isHead = use === HeldFor.heads && !isMostUrgent;
    const headsAfter = this.heldFor(HeldFor.heads) + bytes;
    if (isHead && headsAfter > this.#capacity * HEADS_SHARE) return false;
    this.#held.set(use, this.heldFor(use) + bytes);
    this.#total += bytes;
    return true;
  }

  /** Releases bytes that were held. */
  release(use: HeldFor, bytes: number): void {
    const released = Math.min(bytes, this.heldFor(use));
    this.#held.set(use, this.heldFor(use) - released);
    this.#total -= released;
  }
}

/** Memory of a process that serves no request, in bytes. */
const BASE_BYTES = 80 << 20;
/**
 * Share of the remaining memory that is given to callers' bytes: each byte is
 * held about twice, here and in the buffers of sockets.
 */
const CALLERS_SHARE = 0.5;
/** A body of the usual limit always fits, also one that is not urgent. */
const MIN_CAPACITY = (4 << 20) / LESS_URGENT_SHARE;

/** The bytes that a process may hold for callers, by its memory limit. */
export function callerBytesOf(processBytes: number | undefined): number {
  if (processBytes === undefined) return Infinity;
  return Math.max(MIN_CAPACITY, (processBytes - BASE_BYTES) * CALLERS_SHARE);
}
