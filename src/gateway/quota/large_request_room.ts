/**
 * Keeps room for the large requests of one account. Small ones would otherwise
 * take each gap of the window: a request that needs much room at once would be
 * refused for as long as others that need less keep arriving.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Allowance } from "./bounds.ts";
import { WindowLog } from "./window_log.ts";

/**
 * Requests of up to this share of the window's limit all need the same room:
 * that of the largest one refused. So small ones are not granted more often.
 */
const EQUAL_ROOM_SHARE = 0.02;
/**
 * Room for larger requests is collected at the part of the account's rate that
 * they ask for, within these bounds.
 */
const MIN_COLLECT_SHARE = 0.1;
const MAX_COLLECT_SHARE = 0.25;
/**
 * No room is kept for requests beyond this share of the window's limit. It is
 * less than what may be granted in a burst, or smaller requests would wait for
 * the end of the burst.
 */
const MAX_ROOM_SHARE = 0.4;
/** How long after its retry time a request is expected. */
const LATE_RETRY_MS = 400;

/** Room for the largest request that was refused and may come back. */
export class LargeRequestRoom {
  /** Units asked for in the last window, and the large requests' part. */
  readonly #asked = new WindowLog();
  readonly #askedByLarge = new WindowLog();
  /** Units of the largest request that is expected. */
  #expected = 0;
  #expectedUntil: Milliseconds = -Infinity;
  /** Units collected for it until `#collectedAt`. */
  #collected = 0;
  #collectedAt: Milliseconds = 0;

  /** Records a request, before the decision on it. */
  noteAsked(units: number, allowance: Allowance, now: Milliseconds): void {
    const { units: limit, windowMs } = allowance;
    this.#collect(allowance, now);
    this.#asked.expire(now, windowMs);
    this.#askedByLarge.expire(now, windowMs);
    this.#asked.add(units, now);
    if (isLarge(units, limit)) this.#askedByLarge.add(units, now);
  }

  /** Units that must be available for a request, its own included. */
  requiredFor(units: number, allowance: Allowance, now: Milliseconds): number {
    if (now >= this.#expectedUntil || units >= this.#expected) return units;
    const equal = Math.min(this.#expected, EQUAL_ROOM_SHARE * allowance.units);
    const collected = isLarge(this.#expected, allowance.units)
      ? this.#collected
      : 0;
    return Math.max(equal, units + collected);
  }

  /** Time until the room for a refused request is collected. */
  collectMs(
    units: number,
    allowance: Allowance,
    now: Milliseconds,
  ): Milliseconds {
    if (!isLarge(units, allowance.units)) return 0;
    const collected = now < this.#expectedUntil ? this.#collected : 0;
    const room = Math.min(units, MAX_ROOM_SHARE * allowance.units);
    return Math.max(0, room - collected) / this.#collectPerMs(allowance);
  }

  /**
   * Records a refused request that got a retry time. Its room is kept for a
   * window at least: it serves other large requests as well, and callers
   * that give up would leave each of them to begin anew.
   */
  noteRefused(
    units: number,
    { allowance, retryAfterMs }: {
      readonly allowance: Allowance;
      readonly retryAfterMs: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    if (units > MAX_ROOM_SHARE * allowance.units) return;
    const isExpecting = now < this.#expectedUntil;
    if (isExpecting && units < this.#expected) return;
    const keptMs = Math.max(allowance.windowMs, retryAfterMs + LATE_RETRY_MS);
    if (!isExpecting) this.#collected = 0;
    this.#expected = units;
    this.#expectedUntil = isExpecting
      ? Math.max(this.#expectedUntil, now + keptMs)
      : now + keptMs;
  }

  /** Begins to collect anew once the largest request has its units. */
  noteGranted(units: number): void {
    if (units >= this.#expected) this.#collected = 0;
  }

  #collect(allowance: Allowance, now: Milliseconds): void {
    const most = Math.min(this.#expected, MAX_ROOM_SHARE * allowance.units);
    const more = this.#collectPerMs(allowance) * (now - this.#collectedAt);
    this.#collected = Math.min(most, this.#collected + more);
    this.#collectedAt = now;
  }

  #collectPerMs({ units, windowMs }: Allowance): number {
    const asked = this.#asked.sum;
    const share = asked > 0 ? this.#askedByLarge.sum / asked : 0;
    return units / windowMs *
      Math.min(MAX_COLLECT_SHARE, Math.max(MIN_COLLECT_SHARE, share));
  }
}

function isLarge(units: number, limit: number): boolean {
  return units > EQUAL_ROOM_SHARE * limit;
}
