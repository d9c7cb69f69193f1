/** otterhillctl status and explain: what the fleet says of itself. */
import type { Command } from "commander";
import type { ExplainLine, Status } from "../../messages/control.ts";
import { callControl } from "../../shell/mod.ts";
import { ExitCode } from "../common/exit_code.ts";
import { type Context, contextOf } from "./context.ts";
import { textTable } from "./table.ts";

/** Adds both commands. */
export function addStatus(program: Command): void {
  program.command("status")
    .description("halls, hosts, upstreams and the versions in force")
    .action(async (_: unknown, command: Command) => {
      await showStatus(contextOf(command));
    });
  program.command("explain <request>")
    .description("why a request was placed, moved or refused so")
    .action(async (request: string, _: unknown, command: Command) => {
      await explain(contextOf(command), request);
    });
}

async function showStatus(context: Context): Promise<void> {
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
  const text = [statusText(statuses), ...failed.map((one) => `! ${one}`)];
  context.show(text.join("\n"), { statuses, failed });
  if (statuses.length === 0) process.exitCode = ExitCode.failure;
  else if (failed.length > 0) process.exitCode = ExitCode.unknown;
}

function statusText(statuses: readonly Status[]): string {
  const hosts = textTable(
    ["host", "hall", "settings", "list", "platform", "requests", "not live"],
    statuses.map((one) => [
      one.host,
      one.hall,
      String(one.settingsVersion),
      String(one.listRevision),
      one.platformAnswers ? "answers" : "silent",
      String(one.requests),
      one.hosts.filter((host) => !host.live).map((host) => host.id)
        .join(" ") || "-",
    ]),
  );
  const upstreams = statuses.flatMap((one) =>
    one.upstreams.filter((row) => row.planner === one.host)
  );
  const rows = textTable(
    ["upstream", "hall", "service", "role", "planner", "state", "held"],
    upstreams.map((row) => [
      row.id,
      row.hall,
      row.service,
      row.role,
      row.planner,
      stateOf(row),
      `${row.held} of ${row.slots}`,
    ]),
  );
  return `${hosts}\n\n${rows}`;
}

function stateOf(row: Status["upstreams"][number]): string {
  if (row.stopPlanned) return "stop planned";
  if (!row.accepting) return "leaving";
  if (row.reportedMs < 0) return "no report";
  return `reported ${Math.round(row.reportedMs)} ms ago`;
}

async function explain(context: Context, request: string): Promise<void> {
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
    .map((one) =>
      `${new Date(one.atMs).toISOString()} ${one.part}: ${one.sentence} ` +
      one.fields
    )
    .join("\n");
  context.show(text || "no host remembers this request", lines);
  if (lines.length === 0) process.exitCode = ExitCode.failure;
}
