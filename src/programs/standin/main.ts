#!/usr/bin/env node
/** otterhill-standin: simulates an engine, a plain service or the platform. */
import {
  EngineSchema,
  PlainSchema,
  PlatformSchema,
} from "../../settings/mod.ts";
import { startEngine } from "../../standins/engine/server.ts";
import type { RunningStandin } from "../../standins/http/json_server.ts";
import { startPlain } from "../../standins/plain/server.ts";
import { startPlatform } from "../../standins/platform/server.ts";
import {
  makeCommand,
  onStopSignal,
  runProgram,
  settingsOrExit,
} from "../common/command.ts";
import { ExitCode } from "../common/exit_code.ts";

const EXAMPLES = `
Examples:
  otterhill-standin platform --settings platform.toml
  otterhill-standin engine --settings p-brest.toml
  otterhill-standin plain --settings api-brest.toml`;

const program = makeCommand(
  "otterhill-standin",
  "Simulates the services that otterhill depends on, for tests and demos.",
).addHelpText("after", EXAMPLES);

addStandinCommand(
  "engine",
  "a model engine",
  (file) => startEngine(settingsOrExit(file, EngineSchema)),
);
addStandinCommand(
  "plain",
  "a plain service",
  (file) => startPlain(settingsOrExit(file, PlainSchema)),
);
addStandinCommand(
  "platform",
  "the platform: settings table, objects and host list",
  (file) => startPlatform(settingsOrExit(file, PlatformSchema)),
);
await program.parseAsync();

function addStandinCommand(
  name: string,
  description: string,
  start: (file: string) => Promise<RunningStandin>,
): void {
  program.command(name)
    .description(`runs ${description}`)
    .requiredOption("-s, --settings <file>", "settings file (TOML)")
    .action(({ settings }: { settings: string }) =>
      runProgram(async () => {
        const running = await start(settings);
        console.log(JSON.stringify({ address: running.address }));
        onStopSignal(() => {
          running.stop();
          process.exit(ExitCode.ok);
        });
      })
    );
}
