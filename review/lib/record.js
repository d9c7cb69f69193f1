/** The record of a run: what was sent, answered and run. */
import { createWriteStream } from "node:fs";

export class Record {
  #file;
  #startedAt = performance.now();

  constructor(path) {
    this.#file = createWriteStream(path);
  }

  note(event, fields = {}) {
    const atS = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    const parts = Object.entries(fields).map(([key, value]) =>
      `${key}=${value}`
    );
    this.#file.write(`${[atS, event, ...parts].join(" ")}\n`);
  }

  /** Writes a line to the record and to the output. */
  say(line) {
    this.#file.write(`${line}\n`);
    console.log(line);
  }

  close() {
    return new Promise((resolve) => this.#file.end(resolve));
  }
}
