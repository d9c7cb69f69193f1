#!/usr/bin/env node
/** otterhill-router: runs an entry host. */
import { RouterSchema } from "../../settings/mod.ts";
import { openLog, startHost } from "../../shell/mod.ts";
import {
  makeCommand,
  onStopSignal,
  runProgram,
  settingsOrExit,
} from "../common/command.ts";
import { ExitCode } from "../common/exit_code.ts";

const EXAMPLES = `
Examples:
  otterhill-router --settings /etc/otterhill/brest-1.toml
  otterhill-router --check-settings /etc/otterhill/brest-1.toml

Exit codes: 0 done, 1 could not run, 2 faulty command line or settings.`;

type Flags = { readonly settings?: string; readonly checkSettings?: string };

const command = makeCommand(
  "otterhill-router",
  "Routes each caller's request to prefill and decode upstreams.",
)
  .option("-s, --settings <file>", "settings of this host (TOML)")
  .option("--check-settings <file>", "check a settings file and exit")
  .addHelpText("after", EXAMPLES)
  .parse();

await runProgram(() => main(command.opts<Flags>()));

async function main(flags: Flags): Promise<void> {
  if (flags.checkSettings !== undefined) {
    settingsOrExit(flags.checkSettings, RouterSchema);
    console.log(`${flags.checkSettings}: good`);
    return;
  }
  if (flags.settings === undefined) {
    console.error("--settings FILE is missing; see --help");
    process.exit(ExitCode.usage);
  }
  await runHost(flags.settings);
}

async function runHost(file: string): Promise<void> {
  const settings = settingsOrExit(file, RouterSchema);
  const log = openLog("otterhill-router", settings.log.level);
  const running = await startHost(settings, log);
  console.log(JSON.stringify({
    callers: running.callers,
    peers: running.peers,
  }));
  onStopSignal(() => {
    void running.stop().then(() => process.exit(ExitCode.ok));
  });
}
