#!/usr/bin/env node
/** otterhillctl: command-line tool for operators. */
import { makeCommand, runProgram } from "../common/command.ts";
import { addCustomerCommands } from "./customer.ts";
import { addSplitCommands } from "./split.ts";
import { addStatusCommands } from "./status.ts";
import { addStopCommands } from "./stop.ts";
import { addTemplateCommands } from "./template.ts";
import { addVersionsCommand } from "./versions.ts";
import { addWhyCommand } from "./why.ts";

const EXAMPLES = `
Examples:
  otterhillctl --platform 10.0.0.9:7000 template publish recap.toml
  otterhillctl --platform 10.0.0.9:7000 customer set armor priority=7
  otterhillctl --host 10.0.0.1:9001 --host 10.0.0.2:9001 status
  otterhillctl --host 10.0.0.1:9001 stop plan d-brest
  otterhillctl --host 10.0.0.1:9001 stop watch d-brest
  otterhillctl versions 10.0.0.1:9464 10.0.0.2:9464
  otterhillctl why --from 2026-01-01T10:00 --to 2026-01-01T10:05 gateway-*.log

The operator key is read from OTTERHILL_OPERATOR_KEY.
Exit codes: 0 done, 1 could not be done, 2 faulty command line or settings,
3 conflict, 4 unknown whether it was done (or done only in part).`;

const program = makeCommand(
  "otterhillctl",
  "Publishes templates and parameters, plans stops, shows the fleet.",
)
  .option("-p, --platform <address>", "IP:port of the platform")
  .option(
    "-H, --host <address>",
    "IP:port of an entry host's peer listener; may be repeated",
    (address: string, previous: string[] = []) => [...previous, address],
  )
  .option("--author <name>", "author recorded with changes")
  .option("--json", "print JSON")
  .addHelpText("after", EXAMPLES);
addTemplateCommands(program);
addCustomerCommands(program);
addStopCommands(program);
addSplitCommands(program);
addStatusCommands(program);
addVersionsCommand(program);
addWhyCommand(program);
await runProgram(async () => {
  await program.parseAsync();
});
