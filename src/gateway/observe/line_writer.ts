/**
 * Writes log lines without blocking the event loop. `process.stdout` writes to
 * pipes synchronously, so a reader that stops reading would block the process;
 * `fs.write` runs on the thread pool instead. Lines beyond the buffer limit are
 * dropped and counted, except those that are written without a bound.
 */
import { write } from "node:fs";

/**
 * Writes bytes and calls `done` with an error or the number of bytes written.
 */
export type RawWrite = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Maximum length of the buffered lines, in characters. */
const MAX_PENDING_LENGTH = 256 * 1024;
const STDOUT = 1;

/** Buffers lines and writes them in batches, one write at a time. */
export class LineWriter {
  readonly #write: RawWrite;
  #pending: string[] = [];
  #pendingLength = 0;
  #writing = false;
  #dropped = 0;
  /** Called when all lines have been written. */
  readonly #waiting: (() => void)[] = [];

  constructor(write: RawWrite = writeToStdout) {
    this.#write = write;
  }

  /** Returns the number of dropped lines since the last call and resets it. */
  resetDroppedCount(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  /** Buffers a line; called by bunyan. */
  write(line: string): void {
    if (this.#pendingLength + line.length > MAX_PENDING_LENGTH) {
      this.#dropped += 1;
      return;
    }
    this.writeUnbounded(line);
  }

  /** Buffers a line, however many wait. */
  writeUnbounded(line: string): void {
    this.#pending.push(line);
    this.#pendingLength += line.length;
    if (!this.#writing) setImmediate(() => this.#writeNext());
    this.#writing = true;
  }

  /** Resolves when all lines have been written. */
  flushed(): Promise<void> {
    if (!this.#writing) return Promise.resolve();
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  #writeNext(): void {
    const text = this.#pending.join("");
    this.#pending = [];
    this.#pendingLength = 0;
    if (text === "") {
      this.#writing = false;
      for (const resolve of this.#waiting.splice(0)) resolve();
      return;
    }
    this.#writeAll(Buffer.from(text));
  }

  #writeAll(bytes: Buffer): void {
    this.#write(bytes, (error, written) => {
      if (error && !isPipeFull(error)) return this.#writeNext();
      const remaining = bytes.subarray(error ? 0 : written);
      if (remaining.length === 0) return this.#writeNext();
      setTimeout(() => this.#writeAll(remaining), RETRY_DELAY_MS).unref();
    });
  }
}

/** Delay before writing to a full pipe again. */
const RETRY_DELAY_MS = 20;

function isPipeFull(error: NodeJS.ErrnoException): boolean {
  return error.code === "EAGAIN";
}

function writeToStdout(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  write(STDOUT, bytes, done);
}
