/**
 * Writes lines without ever blocking the loop: one write is under way, the
 * rest waits up to a limit, what is over is dropped and counted. Node writes
 * to a pipe through `process.stdout` synchronously, so a reader that stops
 * reading would stop the process; `fs.write` waits on another thread.
 */
import { write } from "node:fs";

/** Writes bytes; calls back when they are written or an error came. */
export type RawWrite = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Most bytes that wait to be written. */
const PENDING_LIMIT = 256 * 1024;
const STDOUT = 1;

/** Gathers lines and writes them in turn. */
export class LineWriter {
  readonly #write: RawWrite;
  #pending: string[] = [];
  #pendingLength = 0;
  #writing = false;
  #dropped = 0;

  constructor(write: RawWrite = writeToStdout) {
    this.#write = write;
  }

  /** Lines that were dropped since the last call; counts anew. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  /** Adds a line; bunyan calls this. */
  write(line: string): void {
    if (this.#pendingLength + line.length > PENDING_LIMIT) {
      this.#dropped += 1;
      return;
    }
    this.#pending.push(line);
    this.#pendingLength += line.length;
    if (!this.#writing) setImmediate(() => this.#writeNext());
    this.#writing = true;
  }

  #writeNext(): void {
    const text = this.#pending.join("");
    this.#pending = [];
    this.#pendingLength = 0;
    if (text === "") {
      this.#writing = false;
      return;
    }
    this.#writeAll(Buffer.from(text));
  }

  #writeAll(bytes: Buffer): void {
    this.#write(bytes, (error, written) => {
      if (error && !isBusy(error)) return this.#writeNext();
      const rest = bytes.subarray(error ? 0 : written);
      if (rest.length === 0) return this.#writeNext();
      setTimeout(() => this.#writeAll(rest), RETRY_MS).unref();
    });
  }
}

/** Pause before a pipe that was full is tried again. */
const RETRY_MS = 20;

function isBusy(error: NodeJS.ErrnoException): boolean {
  return error.code === "EAGAIN";
}

function writeToStdout(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  write(STDOUT, bytes, done);
}
