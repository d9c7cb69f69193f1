/** Splits text that arrives in chunks into lines. */

/** Collects chunks until their line ends; holds one unfinished line at most. */
export class LineSplitter {
  readonly #maxChars: number;
  #unfinished: string[] = [];
  #unfinishedChars = 0;

  /** `maxChars`: the longest line, in UTF-16 code units. */
  constructor(maxChars: number) {
    this.#maxChars = maxChars;
  }

  /**
   * The lines that end in this chunk, without empty ones; undefined if a line is
   * too long.
   */
  push(chunk: string): string[] | undefined {
    const parts = chunk.split("\n");
    const rest = parts.pop() ?? "";
    const [first, ...others] = parts;
    const lines = first === undefined ? [] : [this.#finish(first), ...others];
    this.#unfinished.push(rest);
    this.#unfinishedChars += rest.length;
    const isTooLong = this.#unfinishedChars > this.#maxChars ||
      lines.some((line) => line.length > this.#maxChars);
    return isTooLong ? undefined : lines.filter((line) => line !== "");
  }

  #finish(end: string): string {
    const line = this.#unfinished.join("") + end;
    this.#unfinished = [];
    this.#unfinishedChars = 0;
    return line;
  }
}
