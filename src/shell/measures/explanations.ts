/** Stores log lines per request for `otterhillctl explain`. */
import type { LogLine } from "../../core/mod.ts";
import type { ExplainLine } from "../../messages/control.ts";

/** Maximum number of requests; the oldest one is evicted first. */
const REQUEST_LIMIT = 2000;
/** Maximum number of lines per request. */
const LINE_LIMIT = 40;

/** Log lines of the latest requests. */
export class Explanations {
  readonly #lines = new Map<string, ExplainLine[]>();

  /** Stores a line. */
  note(line: LogLine, now: number): void {
    if (line.request === undefined) return;
    const known = this.#lines.get(line.request) ?? [];
    if (known.length >= LINE_LIMIT) return;
    known.push({
      atMs: now,
      part: line.part,
      sentence: line.sentence,
      fields: JSON.stringify(line.fields ?? {}),
    });
    this.#lines.set(line.request, known);
    const oldest = this.#lines.keys().next().value;
    const full = this.#lines.size > REQUEST_LIMIT;
    if (full && oldest !== undefined) this.#lines.delete(oldest);
  }

  /** Returns a request's lines, none when it is unknown or evicted. */
  of(request: string): readonly ExplainLine[] {
    return this.#lines.get(request) ?? [];
  }
}
