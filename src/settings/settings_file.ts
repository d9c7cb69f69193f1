/** A settings file that may change while its program runs. */
import { statSync } from "node:fs";
import type { z } from "zod";
import type { Result } from "../util/result.ts";
import { loadSettings, type SettingsFault } from "./load.ts";

/** Loads a file and tells whether it has changed since. */
export class SettingsFile<Schema extends z.ZodType> {
  readonly #path: string;
  readonly #schema: Schema;
  #loadedStamp: string | undefined;

  constructor(path: string, schema: Schema) {
    this.#path = path;
    this.#schema = schema;
  }

  /** Loads the settings; see {@link loadSettings}. */
  load(): Result<z.output<Schema>, SettingsFault[]> {
    // Taken before reading, so that a write meanwhile counts as a change.
    this.#loadedStamp = stampOf(this.#path);
    return loadSettings(this.#path, this.#schema);
  }

  /** Whether the file has changed since it was last loaded. */
  get isChanged(): boolean {
    return stampOf(this.#path) !== this.#loadedStamp;
  }
}

function stampOf(path: string): string {
  try {
    const { mtimeMs, size, ino } = statSync(path);
    return [mtimeMs, size, ino].join();
  } catch {
    // Loading reports why the file can't be read.
    return "unreadable";
  }
}
