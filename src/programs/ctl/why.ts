/** otterhillctl why: what failed in a time window, and what may have caused it. */
import type { Command } from "commander";
import { createContext } from "./context.ts";
import { formatIncident, IncidentLog } from "./incident_summary.ts";
import { readLogs } from "./read_logs.ts";

type WhyFlags = { readonly from?: string; readonly to?: string };

export function addWhyCommand(program: Command): void {
  program.command("why [logs...]")
    .description(
      "show which requests failed, by error and route, and which changes may " +
        "be the cause: from log files of hosts, or from standard input",
    )
    .option("--from <time>", "start of the time window, ISO 8601 in UTC")
    .option("--to <time>", "end of the time window, ISO 8601 in UTC")
    .action(async (logs: string[], flags: WhyFlags, command: Command) => {
      const { from, to } = flags;
      const incident = new IncidentLog({ from, to });
      for await (const line of readLogs(logs)) incident.add(line);
      const summary = incident.summary();
      createContext(command).show(formatIncident(summary), summary);
    });
}
