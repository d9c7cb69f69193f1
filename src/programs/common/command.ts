/** Command-line handling shared by all programs. */
import { existsSync, readFileSync } from "node:fs";
import { Command } from "commander";
import type { z } from "zod";
import { formatFault, loadSettings } from "../../settings/load.ts";
import { ExitCode } from "./exit_code.ts";

/** Creates a program's command with its version and exit codes. */
export function makeCommand(name: string, description: string): Command {
  const command = new Command(name);
  command.description(description).version(packageVersion());
  command.exitOverride((error) => {
    process.exit(error.exitCode === 0 ? ExitCode.ok : ExitCode.usage);
  });
  return command;
}

/** Version in the closest package.json above this file or its bundle. */
function packageVersion(): string {
  let folder = new URL(".", import.meta.url);
  for (;;) {
    const file = new URL("package.json", folder);
    if (existsSync(file)) {
      const text = readFileSync(file, "utf8");
      return (JSON.parse(text) as { version: string }).version;
    }
    const parent = new URL("..", folder);
    if (parent.href === folder.href) return "unknown";
    folder = parent;
  }
}

/** Loads a settings file; prints all faults and exits if there are any. */
export function settingsOrExit<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): z.output<Schema> {
  const loaded = loadSettings(file, schema);
  if (loaded.ok) return loaded.val;
  for (const fault of loaded.val) console.error(formatFault(fault));
  process.exit(ExitCode.usage);
}

/** Runs a program; prints the message of an error and exits with a failure. */
export async function runProgram(run: () => Promise<void>): Promise<void> {
  try {
    await run();
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    process.exit(ExitCode.failure);
  }
}

/** Calls `stop` once, on the first SIGTERM or SIGINT. */
export function onStopSignal(stop: () => void): void {
  let stopping = false;
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
      if (stopping) return;
      stopping = true;
      stop();
    });
  }
}
