/** Reads log files of gateways line by line. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/**
 * The lines of the files, one file after the other; of standard input if there
 * are none. Fails if a file can't be read.
 */
export async function* readLogs(
  files: readonly string[],
): AsyncGenerator<string> {
  const inputs = files.length > 0
    ? files.map((file) => createReadStream(file))
    : [process.stdin];
  for (const input of inputs) yield* createInterface({ input });
}
