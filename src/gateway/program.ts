/** The gateway's program: command line, settings file and signals. */
import { makeCommand, settingsOrExit } from "../programs/common/command.ts";
import { ExitCode } from "../programs/common/exit_code.ts";
// Not the folder's entry file: loading other programs' schemas slows startup.
import { GatewaySchema, type GatewaySettings } from "../settings/gateway.ts";
import { formatFault } from "../settings/load.ts";
import { SettingsFile } from "../settings/settings_file.ts";
import { systemClock } from "./clock.ts";
import type { ProcessSignals } from "./early_signals.ts";
import { awaitSettings } from "./first_settings.ts";
import { createGateway } from "./gateway.ts";
import type { PlatformPort } from "./port.ts";
import { handleUnexpectedErrors } from "./unexpected_errors.ts";
import type { Connect } from "./upstreams/connect.ts";

/** Interval at which the settings file is checked for changes. */
const SETTINGS_POLL_INTERVAL_MS = 2000;

const EXAMPLES = `
Examples:
  otterhill-gateway --settings /etc/otterhill/gateway.toml
  otterhill-gateway --check-settings /etc/otterhill/gateway.toml

Signals: SIGTERM finishes open requests and exits; SIGHUP reloads the settings.
Settings that are invalid at the start are read again for 30 s.
Exit codes: 0 success, 1 failed to run, 2 invalid command line or settings.`;

type Flags = { readonly settings?: string; readonly checkSettings?: string };

/** What the platform adapter provides to the program. */
export type GatewayProgram = {
  readonly signals: ProcessSignals;
  /** Creates the platform port. */
  connect(settings: GatewaySettings): PlatformPort;
  /** Opens connections to replicas; over TCP by default. */
  readonly connectReplica?: Connect | undefined;
  /** Settings file to use if the command line names none. */
  readonly defaultSettings: string | undefined;
};

/** Runs the gateway until it receives a stop signal. */
export async function runGateway(program: GatewayProgram): Promise<void> {
  const command = makeCommand(
    "otterhill-gateway",
    "Routes requests over the platform's replicas.",
  )
    .option("-s, --settings <file>", "settings of this host (TOML)")
    .option("--check-settings <file>", "check a settings file and exit")
    .addHelpText("after", EXAMPLES)
    .parse();
  const flags = command.opts<Flags>();
  if (flags.checkSettings !== undefined) {
    settingsOrExit(flags.checkSettings, GatewaySchema);
    console.log(`${flags.checkSettings}: good`);
    return;
  }
  const file = flags.settings ?? program.defaultSettings;
  if (file === undefined) {
    console.error("--settings FILE is missing; see --help");
    process.exit(ExitCode.usage);
  }
  await serve(new SettingsFile(file, GatewaySchema), program);
}

async function serve(
  file: SettingsFile<typeof GatewaySchema>,
  program: GatewayProgram,
): Promise<void> {
  const settings = await awaitSettings({
    load: () => file.load(),
    print: console.error,
    clock: systemClock,
  });
  if (!settings) process.exit(ExitCode.usage);
  const setErrorHandler = handleUnexpectedErrors();
  const gateway = createGateway(settings, program.connect(settings), {
    connect: program.connectReplica,
  });
  setErrorHandler((error, origin) =>
    gateway.noteUnexpectedError(error, origin)
  );
  const reload = (cause: string) => {
    const loaded = file.load();
    if (loaded.ok) gateway.reload(loaded.val, cause);
    else gateway.noteFault(loaded.val.map(formatFault).join("; "));
  };
  program.signals.onReload(() => reload("SIGHUP"));
  setInterval(() => {
    if (file.isChanged) reload("the file changed");
  }, SETTINGS_POLL_INTERVAL_MS).unref();
  program.signals.onStop(() => {
    gateway.stop().then(() => process.exit(ExitCode.ok), (error: unknown) => {
      console.error("The stop failed", error);
      process.exit(ExitCode.failure);
    });
  });
  // Not earlier: a host that waits for its addresses can be stopped, too.
  await gateway.listen();
}
