#!/usr/bin/env node
/** otterhill-burn: reports burn rates of the service-level error budget. */
import { writeFileSync } from "node:fs";
import type { BurnWindow } from "../../messages/control.ts";
import { callControl } from "../../shell/mod.ts";
import { sha256 } from "../../util/sha256.ts";
import { makeCommand, runProgram } from "../common/command.ts";
import { ExitCode } from "../common/exit_code.ts";
import { mergeBurn } from "./merge.ts";
import { renderBurnPage } from "./page.ts";
import { formatBurnTable } from "./text.ts";

const EXAMPLES = `
Examples:
  otterhill-burn 10.0.0.1:9001 10.0.0.2:9001
  otterhill-burn --html burn.html --objective 0.99 10.0.0.1:9001

Exit codes: 0 all hosts responded, 1 none responded, 2 faulty command line,
4 some did not respond.`;

type Flags = {
  readonly html?: string;
  readonly json?: boolean;
  readonly objective: number;
};

const TIMEOUT_MS = 3000;

const command = makeCommand(
  "otterhill-burn",
  "Reports the burn rate of the service-level budget, merged over entry hosts.",
)
  .option("--html <file>", "write an HTML page with bar charts")
  .option("--json", "print JSON")
  .option(
    "--objective <share>",
    "required share of good requests",
    Number,
    0.95,
  )
  .argument("<addresses...>", "IP:port of entry hosts (peer listener)")
  .addHelpText("after", EXAMPLES)
  .parse();

await runProgram(() => main(command.opts<Flags>(), command.args));

async function main(flags: Flags, addresses: readonly string[]) {
  if (!(flags.objective > 0 && flags.objective < 1)) {
    console.error(`--objective: expected a share between 0 and 1`);
    process.exit(ExitCode.usage);
  }
  const keyHash = sha256(process.env["OTTERHILL_OPERATOR_KEY"] ?? "");
  const windows: BurnWindow[] = [];
  let unreachable = 0;
  for (const address of addresses) {
    try {
      const target = { address, keyHash, timeoutMs: TIMEOUT_MS };
      const answer = await callControl(target, { $case: "burn", value: {} });
      if (answer.$case === "burn") windows.push(...answer.value.windows);
    } catch (error) {
      unreachable += 1;
      console.error(error instanceof Error ? error.message : String(error));
    }
  }
  const rows = mergeBurn(windows, flags.objective);
  console.log(flags.json ? JSON.stringify(rows) : formatBurnTable(rows));
  if (flags.html !== undefined) {
    writeFileSync(
      flags.html,
      renderBurnPage(rows, flags.objective, new Date()),
    );
  }
  if (unreachable === addresses.length) process.exitCode = ExitCode.failure;
  else if (unreachable > 0) process.exitCode = ExitCode.unknown;
}
