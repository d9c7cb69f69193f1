/** otterhillctl template: validate, diff, publish, show, history, schema. */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import { parse } from "smol-toml";
import { PARAMETERS, RowKey } from "../../core/mod.ts";
import { type CheckResult, checkTemplate } from "../../operators/checks.ts";
import { diffValues, formatDifferences } from "../../operators/diff.ts";
import {
  type CommandContext,
  createContext,
  publishAndReport,
  reportFaults,
} from "./context.ts";
import { showHistory, showRows } from "./rows.ts";
import { formatTable } from "./table.ts";

export function addTemplateCommands(program: Command): void {
  const template = program.command("template")
    .description("templates on which customers are based");
  template.command("validate <file>")
    .description("validate a template and its customers")
    .action(async (file: string, _: unknown, command: Command) => {
      const context = createContext(command);
      const { checked } = await readAndCheck(context, file);
      if (reportFaults(context, checked.faults)) return;
      context.show(`${file}: good`, { faults: [] });
    });
  template.command("diff <file>")
    .description("show what publishing a template would change")
    .action(async (file: string, _: unknown, command: Command) => {
      const context = createContext(command);
      const { value, checked } = await readAndCheck(context, file);
      showDifference(context, value, checked);
    });
  template.command("publish <file>")
    .description("publish a template to the fleet")
    .action(async (file: string, _: unknown, command: Command) => {
      await publishTemplate(createContext(command), file);
    });
  template.command("show [name]")
    .description("show the templates in force")
    .action((name: string | undefined, _: unknown, command: Command) =>
      showRows(createContext(command), RowKey.template, name)
    );
  template.command("history <name>")
    .description("show the changes of a template")
    .action((name: string, _: unknown, command: Command) =>
      showHistory(createContext(command), RowKey.template + name)
    );
  template.command("schema")
    .description("list the parameters that a template can define")
    .action((_: unknown, command: Command) => showSchema(command));
}

async function readAndCheck(
  context: CommandContext,
  file: string,
): Promise<{ readonly value: unknown; readonly checked: CheckResult }> {
  const value: unknown = parse(readFileSync(file, "utf8"));
  return { value, checked: await checkTemplate(context.store, value) };
}

function showDifference(
  context: CommandContext,
  value: unknown,
  checked: CheckResult,
): void {
  if (reportFaults(context, checked.faults)) return;
  const before: unknown = JSON.parse(checked.before?.value ?? "null");
  const entries = diffValues(before, value);
  context.show(formatDifferences(entries), entries);
}

async function publishTemplate(context: CommandContext, file: string) {
  const { value, checked } = await readAndCheck(context, file);
  if (reportFaults(context, checked.faults)) return;
  if (!context.flags.json) showDifference(context, value, checked);
  const { name } = value as { name: string };
  await publishAndReport(context, {
    key: RowKey.template + name,
    value: JSON.stringify(value),
    base: checked.before?.revision ?? 0,
    guards: checked.guards,
  });
}

function showSchema(command: Command): void {
  const rows = Object.entries(PARAMETERS)
    .map(([name, { type, doc }]) => [name, type, doc]);
  const { json } = command.optsWithGlobals<{ json?: boolean }>();
  const text = formatTable(["parameter", "type", "meaning"], rows);
  console.log(json ? JSON.stringify(PARAMETERS) : text);
}
