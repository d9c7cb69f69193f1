#!/usr/bin/env node
/** otterhill-load: sends open-loop load from a workload file. */
import { makeCommand, runProgram, settingsOrExit } from "../common/command.ts";
import { runLoad } from "./run.ts";
import { formatSummary, summarise } from "./summary.ts";
import { WorkloadSchema } from "./workload.ts";

const EXAMPLES = `
Examples:
  otterhill-load --workload armor.toml 127.0.0.1:8001 127.0.0.1:8002
  otterhill-load --workload armor.toml --json 127.0.0.1:8001`;

type Flags = { readonly workload: string; readonly json?: boolean };

const command = makeCommand(
  "otterhill-load",
  "Sends a workload to entry hosts and measures the responses.",
)
  .requiredOption("-w, --workload <file>", "workload file (TOML)")
  .option("--json", "print the summary as JSON")
  .argument("<addresses...>", "IP:port of entry hosts")
  .addHelpText("after", EXAMPLES)
  .parse();

await runProgram(async () => {
  const flags = command.opts<Flags>();
  const workload = settingsOrExit(flags.workload, WorkloadSchema);
  const summary = summarise(
    await runLoad(workload, { targets: () => command.args }),
  );
  const text = flags.json ? JSON.stringify(summary) : formatSummary(summary);
  console.log(text);
});
