/**
 * The expected memory use of one decode replica over time. Finds when a further
 * run fits in: memory that later runs are going to need isn't given twice.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { MemoryUse } from "./memory_profile.ts";

/** Steps by which the memory of a growing run rises. */
const GROWTH_STEPS = 4;

/** What a decode replica holds from a time on, until the next level begins. */
type Level = {
  readonly at: Milliseconds;
  readonly tokens: number;
  readonly runs: number;
};

/** What a decode replica can hold. */
export type ReplicaCapacity = {
  /** Memory, in tokens. */
  readonly memory: number;
  /** Requests that it runs at once. */
  readonly slots: number;
};

/** Memory and slots of one decode replica that are in use over time. */
export class MemoryTimeline {
  readonly #capacity: ReplicaCapacity;
  /** In ascending order; nothing is held before the first. */
  readonly #levels: Level[];

  constructor(capacity: ReplicaCapacity, uses: readonly MemoryUse[]) {
    this.#capacity = capacity;
    this.#levels = levelsOf(uses.flatMap(changesOf));
  }

  /** Tokens held at a time. */
  tokensAt(at: Milliseconds): number {
    return this.#levels[this.#indexAt(at)]?.tokens ?? 0;
  }

  /** Adds a run. */
  add(use: MemoryUse): void {
    for (const change of changesOf(use)) this.#apply(change);
  }

  /**
   * The earliest time, not before `from`, at which `tokens` are free for a run
   * of `durationMs`. An idle replica accepts any request, even one larger than
   * its memory.
   */
  earliestFit(
    { tokens, durationMs }: {
      readonly tokens: number;
      readonly durationMs: Milliseconds;
    },
    from: Milliseconds,
  ): Milliseconds {
    const { memory, slots } = this.#capacity;
    const free = memory - tokens;
    let start = from;
    const first = Math.max(0, this.#indexAt(from));
    for (let index = first; index < this.#levels.length; index++) {
      const level = this.#levels[index];
      if (!level || level.at >= start + durationMs) break;
      const fits = level.runs === 0 ||
        (level.tokens <= free && level.runs < slots);
      if (!fits) start = this.#levels[index + 1]?.at ?? Infinity;
    }
    return start;
  }

  /** Index of the level that holds at a time; -1 before the first. */
  #indexAt(at: Milliseconds): number {
    let low = 0;
    let high = this.#levels.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#levels[middle]?.at ?? Infinity) <= at) low = middle + 1;
      else high = middle;
    }
    return low - 1;
  }

  #apply({ at, tokens, runs }: Level): void {
    let index = this.#indexAt(at);
    const current = this.#levels[index];
    if (current?.at !== at) {
      index += 1;
      const held = { tokens: current?.tokens ?? 0, runs: current?.runs ?? 0 };
      this.#levels.splice(index, 0, { at, ...held });
    }
    for (; index < this.#levels.length; index++) {
      const level = this.#levels[index];
      if (!level) return;
      this.#levels[index] = {
        at: level.at,
        tokens: level.tokens + tokens,
        runs: level.runs + runs,
      };
    }
  }
}

/** The changes of a replica's level by one run. */
function changesOf(use: MemoryUse): Level[] {
  const { from, until, tokensFrom, tokensUntil } = use;
  const start = { at: from, tokens: tokensFrom, runs: 1 };
  const end = { at: until, tokens: -tokensUntil, runs: -1 };
  const growth = tokensUntil - tokensFrom;
  if (growth === 0) return [start, end];
  const steps = Array.from({ length: GROWTH_STEPS }, (_, index) => ({
    at: from + (until - from) * index / GROWTH_STEPS,
    tokens: growth / GROWTH_STEPS,
    runs: 0,
  }));
  return [start, ...steps, end];
}

function levelsOf(changes: Level[]): Level[] {
  changes.sort((a, b) => a.at - b.at);
  const levels: Level[] = [];
  let tokens = 0;
  let runs = 0;
  for (const change of changes) {
    tokens += change.tokens;
    runs += change.runs;
    if (levels.at(-1)?.at === change.at) levels.pop();
    levels.push({ at: change.at, tokens, runs });
  }
  return levels;
}
