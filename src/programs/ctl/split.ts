/** otterhillctl split: how many upstreams of a service do prefill. */
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

/** Adds the split commands. */
export function addSplitCommands(program: Command): void {
  const split = program.command("split")
    .description("a service's split between prefill and decode upstreams");
  split.command("set <service>")
    .description("change the split; without --prefill it follows the load")
    .option("--prefill <count>", "upstreams that do prefill")
    .action(async (service: string, flags: SetFlags, command: Command) => {
      await setSplit(createContext(command), service, flags);
    });
  split.command("leave <service>")
    .description("leave the split as it is from now on")
    .action(async (service: string, _: unknown, command: Command) => {
      await publishSplit(createContext(command), service, null);
    });
  split.command("show [service]")
    .description("splits in force")
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
