/** What a planner has given away of each replica. */
import type { Milliseconds } from "../../util/units.ts";
import {
  addSample,
  emptyFit,
  fittedLine,
  type Line,
  type LineFit,
} from "../../util/line_fit.ts";

/**
 * Prefills as they may be before any was timed: two points, so that a few
 * samples close together can't tilt the line.
 */
const FIRST_SAMPLES = [{ x: 500, y: 75 }, { x: 6000, y: 290 }];
/** How often each of them counts. */
const FIRST_WEIGHT = 3;
/** Part of the old samples that stays in the fit of prefill times. */
const FIT_MEMORY = 0.95;

/** One granted place. */
export type LedgerEntry = {
  readonly id: string;
  /** Absent where another planner gave it. */
  readonly service: string | undefined;
  /** The host that it was granted to. */
  readonly from: string;
  readonly decode: string;
  readonly tokens: number;
  /** The prefill under way; cleared when it is done. */
  prefill: string | undefined;
  /** Where its prompt was, or is being, read. */
  readonly readBy: string | undefined;
  readonly promptTokens: number;
  /** Names the prompt; may be empty. */
  readonly key: string;
  /** Prompt tokens that were ahead of it when it was granted. */
  readonly tokensAhead: number;
  readonly grantedAt: Milliseconds;
  /** It is not believed any longer than this. */
  until: Milliseconds;
};

/** Places by request, with sums by replica. */
export class Ledger {
  readonly #entries = new Map<string, LedgerEntry>();
  readonly #memory = new Map<string, number>();
  readonly #prompts = new Map<string, number>();
  readonly #fits = new Map<string, LineFit>();

  /** Memory given away at a decode replica, in tokens. */
  memoryAt(replica: string): number {
    return this.#memory.get(replica) ?? 0;
  }

  /** Time that a prefill replica needs for what it was given. */
  queueMs(replica: string): Milliseconds {
    return this.promptsAt(replica) * this.lineOf(replica).slope;
  }

  /** Prompt tokens that the replica was given and has not read. */
  promptsAt(replica: string): number {
    return this.#prompts.get(replica) ?? 0;
  }

  /** Time of a prefill at an idle replica, over its prompt's tokens. */
  lineOf(replica: string): Line {
    return fittedLine(this.#fitOf(replica)) ?? { base: 0, slope: 1 };
  }

  /** Enters a place, in the stead of an earlier one of the same request. */
  add(entry: LedgerEntry): void {
    this.remove(entry.id);
    this.#entries.set(entry.id, entry);
    addTo(this.#memory, entry.decode, entry.tokens);
    if (entry.prefill === undefined) return;
    addTo(this.#prompts, entry.prefill, entry.promptTokens);
  }

  /**
   * The request's prefill is over; learns the replica's times from one that
   * went well. Gives the place, if its prefill was under way.
   */
  prefilled(
    id: string,
    spentMs: Milliseconds | undefined,
  ): LedgerEntry | undefined {
    const entry = this.#entries.get(id);
    const replica = entry?.prefill;
    if (!entry || replica === undefined) return undefined;
    entry.prefill = undefined;
    addTo(this.#prompts, replica, -entry.promptTokens);
    // A prefill that waited for others tells nothing of its own time.
    if (spentMs === undefined || entry.tokensAhead > 0) return entry;
    const sample = { x: entry.promptTokens, y: spentMs };
    addSample(this.#fitOf(replica), sample, FIT_MEMORY);
    return entry;
  }

  #fitOf(replica: string): LineFit {
    const known = this.#fits.get(replica);
    if (known) return known;
    const fit = emptyFit();
    for (let count = 0; count < FIRST_WEIGHT; count++) {
      for (const sample of FIRST_SAMPLES) addSample(fit, sample, 1);
    }
    this.#fits.set(replica, fit);
    return fit;
  }

  /** Gives a place back. */
  remove(id: string): LedgerEntry | undefined {
    const entry = this.#entries.get(id);
    if (!entry) return undefined;
    this.#entries.delete(id);
    addTo(this.#memory, entry.decode, -entry.tokens);
    if (entry.prefill !== undefined) {
      addTo(this.#prompts, entry.prefill, -entry.promptTokens);
    }
    return entry;
  }

  /** A host is out of touch: its places are believed until `until`. */
  limitHost(from: string, until: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      if (entry.from === from) entry.until = Math.min(entry.until, until);
    }
  }

  /** Drops the places that are not believed any longer. */
  expire(now: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      if (now >= entry.until) this.remove(entry.id);
    }
  }
}

function addTo(sums: Map<string, number>, name: string, by: number): void {
  const sum = (sums.get(name) ?? 0) + by;
  if (sum <= 0) sums.delete(name);
  else sums.set(name, sum);
}
