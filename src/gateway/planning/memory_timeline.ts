/**
 * The expected memory use of one decode replica over time. Finds when a further
 * run fits in: memory that later runs are going to need isn't given twice.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { MemoryUse } from "./memory_profile.ts";

/** Steps by which the memory of a growing run rises. */
const GROWTH_STEPS = 4;

/** What a run needs: memory and how long. */
export type MemoryNeed = {
  readonly tokens: number;
  readonly durationMs: Milliseconds;
};

/** What a decode replica can hold. */
export type ReplicaCapacity = {
  /** Memory, in tokens. */
  readonly memory: number;
  /** Requests that it runs at once. */
  readonly slots: number;
};

/**
 * Memory and slots of one decode replica that are in use over time. Levels and
 * openings are kept in arrays of numbers, since a planner under load builds and
 * searches thousands of timelines a second.
 */
export class MemoryTimeline {
  readonly #capacity: ReplicaCapacity;
  /**
   * From when on each level is held, until the next begins. In ascending order;
   * nothing is held before the first.
   */
  readonly #levelAt: Milliseconds[] = [];
  /** The tokens and the runs of each level. */
  readonly #tokens: number[] = [];
  readonly #runs: number[] = [];
  /**
   * From these times on, `#openingTokens` are free for `#openingMs`, for the
   * first time.
   */
  readonly #openingAt: Milliseconds[] = [];
  readonly #openingTokens: number[] = [];
  #openingMs: Milliseconds = 0;
  /** Whether the openings are those of the levels. */
  #hasOpenings = false;

  constructor(capacity: ReplicaCapacity, uses: readonly MemoryUse[]) {
    this.#capacity = capacity;
    for (const use of uses) this.add(use);
  }

  /** Tokens held at a time. */
  tokensAt(at: Milliseconds): number {
    return this.#tokens[this.#indexAt(at)] ?? 0;
  }

  /** Adds a run. */
  add(use: MemoryUse): void {
    this.#apply(use, 1);
  }

  /** Removes a run that was added. */
  remove(use: MemoryUse): void {
    this.#apply(use, -1);
  }

  /**
   * A time that is not later than the `earliestFit` of any run of as many tokens
   * that takes at least as long. Much cheaper, as long as the duration stays the
   * same and no run is added.
   */
  earliestOpening(
    { tokens, durationMs }: MemoryNeed,
    from: Milliseconds,
  ): Milliseconds {
    if (!this.#hasOpenings || this.#openingMs !== durationMs) {
      this.#findOpenings(durationMs);
    }
    if (from < (this.#levelAt[0] ?? Infinity)) return from;
    const openings = this.#openingTokens;
    for (let index = 0; index < openings.length; index++) {
      if ((openings[index] ?? 0) < tokens) continue;
      return Math.max(from, this.#openingAt[index] ?? Infinity);
    }
    return Infinity;
  }

  /**
   * The earliest time, not before `from`, at which `tokens` are free for a run
   * of `durationMs`. An idle replica accepts any request, even one larger than
   * its memory.
   */
  earliestFit(
    { tokens, durationMs }: MemoryNeed,
    from: Milliseconds,
  ): Milliseconds {
    const levelAt = this.#levelAt;
    let start = from;
    const first = Math.max(0, this.#indexAt(from));
    for (let index = first; index < levelAt.length; index++) {
      if ((levelAt[index] ?? Infinity) >= start + durationMs) break;
      const fits = tokens <= this.#freeIn(index);
      if (!fits) start = levelAt[index + 1] ?? Infinity;
    }
    return start;
  }

  /** Tokens of the largest request that a level leaves room for. */
  #freeIn(index: number): number {
    const { memory, slots } = this.#capacity;
    const runs = this.#runs[index] ?? 0;
    if (runs === 0) return Infinity;
    return runs < slots ? memory - (this.#tokens[index] ?? 0) : -Infinity;
  }

  /** Finds the times from which more memory is free than from any before. */
  #findOpenings(durationMs: Milliseconds): void {
    const levelAt = this.#levelAt;
    this.#openingAt.length = 0;
    this.#openingTokens.length = 0;
    this.#openingMs = durationMs;
    this.#hasOpenings = true;
    let largest = -Infinity;
    for (let index = 0; index < levelAt.length; index++) {
      if (largest === Infinity) return;
      // No more is free for longer than at first.
      if (this.#freeIn(index) <= largest) continue;
      const at = levelAt[index] ?? Infinity;
      const tokens = this.#freeFrom(index, at + durationMs, largest);
      if (tokens <= largest) continue;
      this.#openingAt.push(at);
      this.#openingTokens.push(tokens);
      largest = tokens;
    }
  }

  /**
   * Tokens that stay free from the begin of a level until a time; stops early
   * at no more than `least`.
   */
  #freeFrom(first: number, until: Milliseconds, least: number): number {
    const levelAt = this.#levelAt;
    let free = this.#freeIn(first);
    for (let index = first + 1; index < levelAt.length; index++) {
      if (free <= least || (levelAt[index] ?? Infinity) >= until) break;
      free = Math.min(free, this.#freeIn(index));
    }
    return free;
  }

  /** Index of the level that holds at a time; -1 before the first. */
  #indexAt(at: Milliseconds): number {
    const levelAt = this.#levelAt;
    let low = 0;
    let high = levelAt.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((levelAt[middle] ?? Infinity) <= at) low = middle + 1;
      else high = middle;
    }
    return low - 1;
  }

  /** Adds a run, or removes it with a sign of -1. */
  #apply(use: MemoryUse, sign: 1 | -1): void {
    const { from, until, tokensFrom, tokensUntil } = use;
    this.#hasOpenings = false;
    const first = this.#levelFrom(from);
    const growth = tokensUntil - tokensFrom;
    if (growth !== 0) {
      for (let step = 0; step < GROWTH_STEPS; step++) {
        this.#levelFrom(from + (until - from) * step / GROWTH_STEPS);
      }
    }
    const end = this.#levelFrom(until);
    for (let index = first; index < end; index++) {
      const at = this.#levelAt[index] ?? from;
      const tokens = growth === 0 ? tokensFrom : grownTokens(use, at);
      this.#tokens[index] = (this.#tokens[index] ?? 0) + sign * tokens;
      this.#runs[index] = (this.#runs[index] ?? 0) + sign;
    }
  }

  /** Index of the level that begins at a time; begins one if there is none. */
  #levelFrom(at: Milliseconds): number {
    const before = this.#indexAt(at);
    if (this.#levelAt[before] === at) return before;
    const index = before + 1;
    insert(this.#levelAt, index, at);
    insert(this.#tokens, index, this.#tokens[before] ?? 0);
    insert(this.#runs, index, this.#runs[before] ?? 0);
    return index;
  }
}

/** Tokens of a growing run, which grows in steps. */
function grownTokens(
  { from, until, tokensFrom, tokensUntil }: MemoryUse,
  at: Milliseconds,
): number {
  let tokens = tokensFrom;
  for (let step = 0; step < GROWTH_STEPS; step++) {
    if (at < from + (until - from) * step / GROWTH_STEPS) break;
    tokens += (tokensUntil - tokensFrom) / GROWTH_STEPS;
  }
  return tokens;
}

/** Inserts a number without the array that `splice` allocates. */
function insert(numbers: number[], index: number, value: number): void {
  numbers.push(value);
  for (let at = numbers.length - 1; at > index; at--) {
    numbers[at] = numbers[at - 1] ?? value;
  }
  numbers[index] = value;
}
