/** Keeps the latest log lines of each request, for `otterhillctl explain`. */
import type { LogLine } from "../../core/mod.ts";
import type { ExplainLine } from "../../messages/control.ts";

/** Requests remembered. */
const REQUEST_LIMIT = 2000;
/** Lines remembered of one request. */
const LINE_LIMIT = 40;

/** The latest requests' log lines. */
export class Explanations {
  readonly #lines = new Map<string, ExplainLine[]>();

  /** Remembers a line. */
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

  /** The lines of one request; none when it is not remembered. */
  of(request: string): readonly ExplainLine[] {
    return this.#lines.get(request) ?? [];
  }
}
