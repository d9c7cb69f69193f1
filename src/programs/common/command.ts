/** What the command lines of all programs share. */
import { existsSync, readFileSync } from "node:fs";
import { Command } from "commander";
import type { z } from "zod";
import { faultLine, loadSettings } from "../../settings/load.ts";
import { ExitCode } from "./exit_code.ts";

/** Makes a program's command with its version and its exit codes. */
export function makeCommand(name: string, description: string): Command {
  const command = new Command(name);
  command.description(description).version(packageVersion());
  command.exitOverride((error) => {
    process.exit(error.exitCode === 0 ? ExitCode.ok : ExitCode.usage);
  });
  return command;
}

/** The version in the nearest package.json above this file, or bundle. */
function packageVersion(): string {
  let folder = new URL(".", import.meta.url);
  for (;;) {
    const file = new URL("package.json", folder);
    if (existsSync(file)) {
      const text = readFileSync(file, "utf8");
      return (JSON.parse(text) as { version: string }).version;
    }
    const above = new URL("..", folder);
    if (above.href === folder.href) return "unknown";
    folder = above;
  }
}

/** Reads a settings file, or ends the program naming every fault. */
export function settingsOrExit<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): z.output<Schema> {
  const loaded = loadSettings(file, schema);
  if (loaded.ok) return loaded.val;
  for (const fault of loaded.val) console.error(faultLine(fault));
  process.exit(ExitCode.usage);
}

/** Runs a program's work; an error is told in one line. */
export async function runProgram(work: () => Promise<void>): Promise<void> {
  try {
    await work();
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    process.exit(ExitCode.failure);
  }
}

/** Calls `stop` once, on the first signal that asks the process to end. */
export function onStopSignal(stop: () => void): void {
  let asked = false;
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
      if (asked) return;
      asked = true;
      stop();
    });
  }
}
