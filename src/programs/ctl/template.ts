/** otterhillctl template: validate, diff, publish, show, history, schema. */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import { parse } from "smol-toml";
import { PARAMETERS, RowKey } from "../../core/mod.ts";
import { type Checked, checkTemplate } from "../../operators/checks.ts";
import { differences, differenceText } from "../../operators/diff.ts";
import {
  type Context,
  contextOf,
  publishAndTell,
  tellFaults,
} from "./context.ts";
import { showHistory, showRows } from "./rows.ts";
import { textTable } from "./table.ts";

/** Adds the template commands. */
export function addTemplate(program: Command): void {
  const template = program.command("template")
    .description("templates that customers are made from");
  template.command("validate <file>")
    .description("check a template, also against its customers")
    .action(async (file: string, _: unknown, command: Command) => {
      const context = contextOf(command);
      const { checked } = await read(context, file);
      if (tellFaults(context, checked.faults)) return;
      context.show(`${file}: good`, { faults: [] });
    });
  template.command("diff <file>")
    .description("what publishing a template would change")
    .action(async (file: string, _: unknown, command: Command) => {
      const context = contextOf(command);
      const { value, checked } = await read(context, file);
      showDifference(context, value, checked);
    });
  template.command("publish <file>")
    .description("put a template in force everywhere")
    .action(async (file: string, _: unknown, command: Command) => {
      await publishTemplate(contextOf(command), file);
    });
  template.command("show [name]")
    .description("templates in force")
    .action((name: string | undefined, _: unknown, command: Command) =>
      showRows(contextOf(command), RowKey.template, name)
    );
  template.command("history <name>")
    .description("changes of a template")
    .action((name: string, _: unknown, command: Command) =>
      showHistory(contextOf(command), RowKey.template + name)
    );
  template.command("schema")
    .description("parameters that a template can offer")
    .action((_: unknown, command: Command) => showSchema(command));
}

async function read(
  context: Context,
  file: string,
): Promise<{ readonly value: unknown; readonly checked: Checked }> {
  const value: unknown = parse(readFileSync(file, "utf8"));
  return { value, checked: await checkTemplate(context.store, value) };
}

function showDifference(
  context: Context,
  value: unknown,
  checked: Checked,
): void {
  if (tellFaults(context, checked.faults)) return;
  const before: unknown = JSON.parse(checked.before?.value ?? "null");
  const lines = differences(before, value);
  context.show(differenceText(lines), lines);
}

async function publishTemplate(context: Context, file: string) {
  const { value, checked } = await read(context, file);
  if (tellFaults(context, checked.faults)) return;
  if (!context.flags.json) showDifference(context, value, checked);
  const { name } = value as { name: string };
  await publishAndTell(context, {
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
  const text = textTable(["parameter", "type", "meaning"], rows);
  console.log(json ? JSON.stringify(PARAMETERS) : text);
}
