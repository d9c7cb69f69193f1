/**
 * The memory of one decode replica over time: what runs hold now, what they are
 * going to hold, and when it is released.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Memory that one run holds from now on, growing until its end. */
export type MemoryUse = {
  /** When it begins to hold memory; not after `until`. */
  readonly from: Milliseconds;
  /** When it is expected to end and to release its memory. */
  readonly until: Milliseconds;
  /** Tokens held at `from` and at `until`. */
  readonly tokensFrom: number;
  readonly tokensUntil: number;
};

/** When a pool can serve a request. */
export type ServiceForecast = {
  /** When its first event is expected; Infinity if never. */
  readonly firstEventAt: Milliseconds;
  /** When memory for it is free; Infinity if never. */
  readonly startsAt: Milliseconds;
};
