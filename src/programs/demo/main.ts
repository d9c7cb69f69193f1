#!/usr/bin/env node
/** Demo: runs a short workload on a small fleet over loopback. */
import { openLog } from "../../shell/mod.ts";
import { makeCommand, onStopSignal, runProgram } from "../common/command.ts";
import { ExitCode } from "../common/exit_code.ts";
import { runLoad } from "../load/run.ts";
import { formatSummary, summarise } from "../load/summary.ts";
import { formatEngines } from "./engine_report.ts";
import {
  API_KEY,
  type DemoFleet,
  HALLS,
  MODEL,
  SERVICE,
  startFleet,
} from "./fleet.ts";
import { demoWorkload } from "./workload.ts";

const WORKLOAD_SECONDS = 12;

type Flags = { readonly serve?: boolean };

const command = makeCommand(
  "demo",
  "Runs a short workload on a small fleet over loopback.",
)
  .option(
    "--serve",
    "keep the fleet running for callers instead of running the workload",
  )
  .parse();

await runProgram(() => main(command.opts<Flags>()));

async function main(flags: Flags): Promise<void> {
  console.log("The demo runs without TLS and without an operator key.");
  const fleet = await startFleet(openLog("demo", "warn"));
  console.log(`Entry hosts: ${fleet.targets.join(" ")}`);
  if (flags.serve) return serveUntilStopped(fleet);
  const workload = demoWorkload({
    model: MODEL,
    service: SERVICE,
    key: API_KEY,
    seconds: WORKLOAD_SECONDS,
  });
  const outcomes = await runLoad(workload, { targets: () => fleet.targets });
  console.log(`\nAttempts per engine (${HALLS.length} data halls):`);
  console.log(formatEngines(fleet.engines));
  console.log(`\n${formatSummary(summarise(outcomes))}`);
  await fleet.stop();
  process.exit(ExitCode.ok);
}

function serveUntilStopped(fleet: DemoFleet): void {
  const target = fleet.targets[0];
  console.log(`
curl -N http://${target}/v1/completions \\
  -H 'Authorization: Bearer ${API_KEY}' -H 'Content-Type: application/json' \\
  -d '{"model":"${MODEL}","prompt":"Minute 12: a corner","max_tokens":20,"stream":true}'

Press Ctrl-C to stop.`);
  onStopSignal(() => {
    void fleet.stop().then(() => process.exit(ExitCode.ok));
  });
}
