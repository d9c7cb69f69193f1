#!/usr/bin/env node
/**
 * Demo: a fleet of gateways before stand-ins of the platform, on loopback. Runs
 * a short workload, kills a host in the middle, and prints what callers got.
 */
import { randomUUID } from "node:crypto";
import {
  makeCommand,
  onStopSignal,
  runProgram,
} from "../../src/programs/common/command.ts";
import { ExitCode } from "../../src/programs/common/exit_code.ts";
import { formatEngines } from "../../src/programs/demo/engine_report.ts";
import { demoWorkload } from "../../src/programs/demo/workload.ts";
import { runLoad } from "../../src/programs/load/run.ts";
import { formatSummary, summarise } from "../../src/programs/load/summary.ts";
import {
  type Arrival,
  CHARACTERS_PER_TOKEN,
} from "../../src/programs/load/workload.ts";
import { type DemoFleet, startFleet } from "./fleet.ts";
import { kill } from "./gateways.ts";
import { API_KEY, MODEL, SERVICE } from "./settings.ts";

type Flags = { readonly serve?: boolean; readonly seconds: number };

const command = makeCommand(
  "demo",
  "Runs a short workload on a small fleet over loopback.",
)
  .option(
    "--serve",
    "keep the fleet running for callers instead of running the workload",
  )
  .option(
    "--seconds <count>",
    "duration of the workload",
    (text) => Number.parseInt(text, 10),
    16,
  )
  .parse();

await runProgram(() => main(command.opts<Flags>()));

async function main(flags: Flags): Promise<void> {
  const fleet = await startFleet();
  onStopSignal(() => {
    void fleet.stop().then(() => process.exit(ExitCode.ok));
  });
  const { hosts, folder } = fleet.gateways;
  console.log(
    hosts.map(({ name, addresses }) =>
      `${name}: callers ${addresses.callers}, metrics ${addresses.metrics}`
    ).join("\n"),
  );
  if (flags.serve) return printUsage(hosts[0]?.addresses.callers ?? "", folder);
  await runWorkload(fleet, flags.seconds);
  await fleet.stop();
  process.exit(ExitCode.ok);
}

async function runWorkload(fleet: DemoFleet, seconds: number): Promise<void> {
  const workload = demoWorkload({
    model: MODEL,
    service: SERVICE,
    key: API_KEY,
    seconds,
  });
  const { hosts } = fleet.gateways;
  const [victim] = hosts;
  const killTimer = setTimeout(() => {
    if (!victim) return;
    console.log(`${victim.name} is killed after ${seconds / 2} s`);
    void kill(victim);
  }, workload.duration / 2);
  const outcomes = await runLoad(workload, {
    targets: () =>
      hosts.filter((host) => host.isRunning)
        .map((host) => host.addresses.callers),
    headers: requestHeaders,
  });
  clearTimeout(killTimer);
  console.log(formatEngines(fleet.replicas.map(({ engine }) => engine)));
  console.log(`\n${formatSummary(summarise(outcomes))}`);
}

/** What a request tells the gateway about its size and prompt. */
function requestHeaders({ stream, prompt, outputTokens }: Arrival) {
  const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
  const prefixLength = Math.floor(prompt.length * stream.shared_share);
  return {
    "Attempt-Id": randomUUID(),
    ...(stream.plain ? {} : {
      "Token-Counts": `${promptTokens},${outputTokens}`,
      "Length-Hint": String(outputTokens),
    }),
    ...(stream.shared_prefixes > 0
      ? { "Prompt-Prefix": prefixOf(prompt.slice(0, prefixLength)) }
      : {}),
  };
}

/** The name of a shared prefix: its first words. */
function prefixOf(text: string): string {
  return text.slice(0, Math.max(0, text.indexOf(":"))).replaceAll(" ", "-");
}

function printUsage(target: string, folder: string): void {
  console.log(`logs in ${folder}

curl -N http://${target}/v1/completions \\
  -H 'Authorization: Bearer ${API_KEY}' -H "Attempt-Id: $RANDOM$RANDOM" \\
  -d '{"model":"${MODEL}","prompt":"Minute 12: a corner","max_tokens":20,"stream":true}'

Press Ctrl-C to stop.`);
}
