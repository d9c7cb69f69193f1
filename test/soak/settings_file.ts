/** The settings file of a host, which may be written in parts or be missing. */
import { rmSync, writeFileSync } from "node:fs";

/** A settings file and its whole text. */
export class SettingsFile {
  readonly path: string;
  #text: string;

  constructor(path: string, text: string) {
    this.path = path;
    this.#text = text;
    this.restore();
  }

  /** Writes the whole text. */
  restore(): void {
    writeFileSync(this.path, this.#text);
  }

  /** Changes the text; a running process learns of it by a reload. */
  change(edit: (text: string) => string): void {
    this.#text = edit(this.#text);
    this.restore();
  }

  /** Writes only the first part of the text; `share` is from 0 to 1. */
  truncate(share: number): void {
    const length = Math.floor(this.#text.length * share);
    writeFileSync(this.path, this.#text.slice(0, length));
  }

  /** Removes the file. */
  remove(): void {
    rmSync(this.path, { force: true });
  }
}
