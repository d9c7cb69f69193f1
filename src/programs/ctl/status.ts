/** otterhillctl status and explain: the fleet's state and a request's log. */
import type { Command } from "commander";
import type { ExplainLine, Status } from "../../messages/control.ts";
import { callControl } from "../../shell/mod.ts";
import { ExitCode } from "../common/exit_code.ts";
import { type CommandContext, createContext } from "./context.ts";
import { readLogs } from "./read_logs.ts";
import { findRequestLines, formatRequestLines } from "./request_log.ts";
import { formatTable } from "./table.ts";

export function addStatusCommands(program: Command): void {
  program.command("status")
    .description("show halls, hosts, upstreams and the versions in force")
    .action(async (_: unknown, command: Command) => {
      await showStatus(createContext(command));
    });
  program.command("explain <request> [logs...]")
    .description(
      "show why a request was placed, moved or refused, or why a replica gets " +
        "no work: from the given hosts, from log files, or from standard input",
    )
    .action(
      async (
        request: string,
        logs: string[],
        _: unknown,
        command: Command,
      ) => {
        const context = createContext(command);
        if (context.hosts.length > 0) {
          return await explainFromHosts(context, request);
        }
        await explainFromLogs(context, request, logs);
      },
    );
}

async function explainFromLogs(
  context: CommandContext,
  request: string,
  files: readonly string[],
): Promise<void> {
  const lines: string[] = [];
  for await (const line of readLogs(files)) {
    if (line.includes(request)) lines.push(line);
  }
  const found = findRequestLines(lines, request);
  if (found.length === 0) process.exitCode = ExitCode.failure;
  const none = `No line names the request ${request}`;
  context.show(found.length > 0 ? formatRequestLines(found) : none, {
    story: found,
  });
}

async function showStatus(context: CommandContext): Promise<void> {
  const statuses: Status[] = [];
  const failed: string[] = [];
  for (const target of context.hosts) {
    try {
      const answer = await callControl(target, { $case: "status", value: {} });
      if (answer.$case === "status") statuses.push(answer.value);
    } catch (error) {
      failed.push(error instanceof Error ? error.message : String(error));
    }
  }
  const text = [
    formatStatuses(statuses),
    ...failed.map((message) => `! ${message}`),
  ];
  context.show(text.join("\n"), { statuses, failed });
  if (statuses.length === 0) process.exitCode = ExitCode.failure;
  else if (failed.length > 0) process.exitCode = ExitCode.unknown;
}

function formatStatuses(statuses: readonly Status[]): string {
  const hosts = formatTable(
    ["host", "hall", "settings", "list", "platform", "requests", "not live"],
    statuses.map((status) => [
      status.host,
      status.hall,
      String(status.settingsVersion),
      String(status.listRevision),
      status.platformAnswers ? "answers" : "silent",
      String(status.requests),
      status.hosts.filter((host) => !host.live).map((host) => host.id)
        .join(" ") || "-",
    ]),
  );
  const upstreams = statuses.flatMap((status) =>
    status.upstreams.filter((row) => row.planner === status.host)
  );
  const rows = formatTable(
    ["upstream", "hall", "service", "role", "planner", "state", "held"],
    upstreams.map((row) => [
      row.id,
      row.hall,
      row.service,
      row.role,
      row.planner,
      formatUpstreamState(row),
      `${row.held} of ${row.slots}`,
    ]),
  );
  return `${hosts}\n\n${rows}`;
}

function formatUpstreamState(row: Status["upstreams"][number]): string {
  if (row.stopPlanned) return "stop planned";
  if (!row.accepting) return "leaving";
  if (row.reportedMs < 0) return "no report";
  return `reported ${Math.round(row.reportedMs)} ms ago`;
}

async function explainFromHosts(
  context: CommandContext,
  request: string,
): Promise<void> {
  const lines: ExplainLine[] = [];
  for (const target of context.hosts) {
    try {
      const value = { request };
      const answer = await callControl(target, { $case: "explain", value });
      if (answer.$case === "explanation") lines.push(...answer.value.lines);
    } catch (error) {
      console.error(error instanceof Error ? error.message : String(error));
    }
  }
  const text = lines
    .map((line) =>
      `${new Date(line.atMs).toISOString()} ${line.part}: ${line.sentence} ` +
      line.fields
    )
    .join("\n");
  context.show(text || "no host remembers this request", lines);
  if (lines.length === 0) process.exitCode = ExitCode.failure;
}
