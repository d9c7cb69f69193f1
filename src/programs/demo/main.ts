#!/usr/bin/env node
/** Demo: runs a short workload on a small fleet over loopback. */
import { checkSettings } from "../../settings/mod.ts";
import { openLog } from "../../shell/mod.ts";
import { makeCommand, onStopSignal, runProgram } from "../common/command.ts";
import { ExitCode } from "../common/exit_code.ts";
import { runLoad } from "../load/run.ts";
import { formatSummary, summarise } from "../load/summary.ts";
import { WorkloadSchema } from "../load/workload.ts";
import {
  API_KEY,
  type DemoFleet,
  HALLS,
  MODEL,
  SERVICE,
  startFleet,
} from "./fleet.ts";

const WORKLOAD = `
duration = "12s"

[[streams]]
name = "commentary"
service = "${MODEL}"
key = "${API_KEY}"
requests_per_second = 3
prompt_tokens = [3000, 8000]
shared_prefixes = 6
output_tokens = [60, 160]
burst_every = "6s"
burst_length = "1s"
burst_factor = 4

[[streams]]
name = "caption"
service = "${MODEL}"
key = "${API_KEY}"
requests_per_second = 8
prompt_tokens = [40, 200]
output_tokens = [10, 30]

[[streams]]
name = "tag"
service = "${SERVICE}"
key = "${API_KEY}"
plain = true
requests_per_second = 4
`;

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
  const workload = checkSettings("demo", WORKLOAD, WorkloadSchema).unwrap();
  const outcomes = await runLoad(workload, fleet.targets);
  console.log(`\nAttempts per engine (${HALLS.length} data halls):`);
  for (const engine of fleet.engines) console.log(formatEngine(engine));
  console.log(`\n${formatSummary(summarise(outcomes))}`);
  console.log(formatWaste(fleet));
  await fleet.stop();
  process.exit(ExitCode.ok);
}

function formatEngine(engine: DemoFleet["engines"][number]): string {
  const { started, prefilledTokens, hitTokens } = engine.record;
  return `  ${engine.id.padEnd(16)} ${String(started.size).padStart(4)} ` +
    `attempts  ${prefilledTokens} tokens prefilled, ${hitTokens} from cache`;
}

function formatWaste(fleet: DemoFleet): string {
  let prefilled = 0;
  let discarded = 0;
  for (const { record } of fleet.engines) {
    prefilled += record.prefilledTokens;
    discarded += record.wastedTokens;
  }
  const share = prefilled === 0 ? 0 : discarded / prefilled * 100;
  return `wasted prefill ${share.toFixed(1)}% of ${prefilled} tokens`;
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
