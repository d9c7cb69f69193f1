/** Reads a scenario: lines of `at TIME VERB ...`; docs/SCENARIOS.md. */
import ms, { type StringValue } from "ms";

/** One line of a scenario. */
export type Line = {
  readonly number: number;
  readonly text: string;
  /** Milliseconds from the scenario's start; the line before's when absent. */
  readonly at: number;
  readonly verb: string;
  readonly words: readonly string[];
};

/** Reads a scenario's text. */
export function parseScenario(text: string): Line[] {
  const lines: Line[] = [];
  let at = 0;
  for (const [place, raw] of text.split("\n").entries()) {
    const words = wordsOf(raw);
    if (words.length === 0) continue;
    if (words[0] === "at") {
      at = timeOf(words[1] ?? "", place + 1);
      words.splice(0, 2);
    }
    const [verb, ...rest] = words;
    if (verb === undefined) continue;
    const line = { number: place + 1, text: raw.trim(), at };
    lines.push({ ...line, verb, words: rest });
  }
  return lines;
}

/** Words, quoted ones whole; a `#` starts a comment. */
function wordsOf(raw: string): string[] {
  const found = raw.match(/#.*|"[^"]*"|\S+/g) ?? [];
  const words: string[] = [];
  for (const word of found) {
    if (word.startsWith("#")) break;
    words.push(word.replaceAll('"', ""));
  }
  return words;
}

/** A span such as `200ms` or `12s`. */
export function timeOf(word: string, line: number): number {
  const value = /[a-z]$/.test(word) ? ms(word as StringValue) : undefined;
  if (typeof value === "number") return value;
  throw new Error(`line ${line}: expected a time such as 12s, got "${word}"`);
}
