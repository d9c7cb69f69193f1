/** The gateway as a program: its command line, settings and signals. */
import { watchFile } from "node:fs";
import {
  makeCommand,
  onStopSignal,
  settingsOrExit,
} from "../programs/common/command.ts";
import { ExitCode } from "../programs/common/exit_code.ts";
// Not the folder's entry file: other programs' schemas take time at the start.
import { GatewaySchema, type GatewaySettings } from "../settings/gateway.ts";
import { faultLine, loadSettings } from "../settings/load.ts";
import { onReload } from "./early_reload.ts";
import { startGateway } from "./gateway.ts";
import type { PlatformPort } from "./port.ts";

/** The settings file may change without a signal: it is looked at so often. */
const LOOK_MS = 2000;

const EXAMPLES = `
Examples:
  otterhill-gateway --settings /etc/otterhill/gateway.toml
  otterhill-gateway --check-settings /etc/otterhill/gateway.toml

Signals: SIGTERM finishes what runs and ends; SIGHUP reads the settings again.
Exit codes: 0 done, 1 could not run, 2 faulty command line or settings.`;

type Flags = { readonly settings?: string; readonly checkSettings?: string };

/** What the program needs from the adapter that starts it. */
export type GatewayProgram = {
  /** Makes the ports of the platform. */
  connect(settings: GatewaySettings): PlatformPort;
  /** Settings file when the command line names none. */
  readonly usualSettings: string | undefined;
};

/** Runs the gateway until it is told to stop. */
export async function runGateway(program: GatewayProgram): Promise<void> {
  const command = makeCommand(
    "otterhill-gateway",
    "Routes requests over the platform's replicas.",
  )
    .option("-s, --settings <file>", "settings of this host (TOML)")
    .option("--check-settings <file>", "check a settings file and end")
    .addHelpText("after", EXAMPLES)
    .parse();
  const flags = command.opts<Flags>();
  if (flags.checkSettings !== undefined) {
    settingsOrExit(flags.checkSettings, GatewaySchema);
    console.log(`${flags.checkSettings}: good`);
    return;
  }
  const file = flags.settings ?? program.usualSettings;
  if (file === undefined) {
    console.error("--settings FILE is missing; see --help");
    process.exit(ExitCode.usage);
  }
  await serve(file, program);
}

async function serve(file: string, program: GatewayProgram): Promise<void> {
  const settings = settingsOrExit(file, GatewaySchema);
  const gateway = await startGateway(settings, program.connect(settings));
  const reload = (cause: string) => {
    const read = loadSettings(file, GatewaySchema);
    if (read.ok) gateway.reload(read.val, cause);
    else gateway.noteFault(read.val.map(faultLine).join("; "));
  };
  onReload(() => reload("SIGHUP"));
  watchFile(file, { interval: LOOK_MS }, (now, before) => {
    if (now.mtimeMs !== before.mtimeMs) reload("the file changed");
  }).unref();
  onStopSignal(() => {
    void gateway.stop().then(() => process.exit(ExitCode.ok));
  });
}
