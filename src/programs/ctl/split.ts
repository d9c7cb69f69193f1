/** otterhillctl split: number of upstreams of a service that do prefill. */
import type { Command } from "commander";
import { RowKey, SplitSchema } from "../../core/mod.ts";
import { readRow } from "../../operators/publish.ts";
import {
  type CommandContext,
  createContext,
  publishAndReport,
  reportFaults,
} from "./context.ts";
import { showRows } from "./rows.ts";

type SetFlags = { readonly prefill?: string };

export function addSplitCommands(program: Command): void {
  const split = program.command("split")
    .description("a service's split between prefill and decode upstreams");
  split.command("set <service>")
    .description("set the split; without --prefill it adapts to the load")
    .option("--prefill <count>", "number of prefill upstreams")
    .action(async (service: string, flags: SetFlags, command: Command) => {
      await setSplit(createContext(command), service, flags);
    });
  split.command("leave <service>")
    .description("remove the setting; the current split stays as it is")
    .action(async (service: string, _: unknown, command: Command) => {
      await publishSplit(createContext(command), service, null);
    });
  split.command("show [service]")
    .description("show the splits in force")
    .action((service: string | undefined, _: unknown, command: Command) =>
      showRows(createContext(command), RowKey.split, service)
    );
}

async function setSplit(
  context: CommandContext,
  service: string,
  flags: SetFlags,
): Promise<void> {
  const { prefill } = flags;
  const value = prefill === undefined ? {} : { prefill: Number(prefill) };
  const parsed = SplitSchema.safeParse(value);
  const faults = parsed.error?.issues
    .map((issue) => `--${issue.path.join(".")}: ${issue.message}`) ?? [];
  if (reportFaults(context, faults)) return;
  await publishSplit(context, service, JSON.stringify(value));
}

async function publishSplit(
  context: CommandContext,
  service: string,
  value: string | null,
): Promise<void> {
  const key = RowKey.split + service;
  const row = await readRow(context.store, key);
  const base = row?.revision ?? 0;
  await publishAndReport(context, { key, value, base, guards: [] });
}
