/** otterhillctl customer: set, show, history. */
import type { Command } from "commander";
import { type Customer, RowKey } from "../../core/mod.ts";
import { checkCustomer } from "../../operators/checks.ts";
import { diffValues, formatDifferences } from "../../operators/diff.ts";
import { readRow } from "../../operators/publish.ts";
import { sha256 } from "../../util/sha256.ts";
import {
  type CommandContext,
  createContext,
  publishAndReport,
  reportFaults,
} from "./context.ts";
import { showUsage } from "./customer_usage.ts";
import { showHistory, showRows } from "./rows.ts";

type SetFlags = {
  readonly template?: string;
  readonly addKey?: string[];
  readonly base?: string;
};

export function addCustomerCommands(program: Command): void {
  const customer = program.command("customer")
    .description("customers and their parameters");
  customer.command("set <name> [parameters...]")
    .description("set parameters: priority=7 models=recap-llm,tagger")
    .option("--template <name>", "the template on which the customer is based")
    .option(
      "--add-key <key...>",
      "API keys to add; only their hashes are stored",
    )
    .option("--base <version>", "the version on which the change is based")
    .action(
      async (
        name: string,
        parameters: string[],
        flags: SetFlags,
        command: Command,
      ) => {
        await setCustomer(createContext(command), name, parameters, flags);
      },
    );
  customer.command("show [name]")
    .description("show the customers in force")
    .action((name: string | undefined, _: unknown, command: Command) =>
      showRows(createContext(command), RowKey.customer, name)
    );
  customer.command("usage <name> <metrics...>")
    .description(
      "show what a customer asks of services and gets, by the metrics " +
        "addresses of gateways (IP:port)",
    )
    .action((
      name: string,
      addresses: string[],
      _: unknown,
      command: Command,
    ) => showUsage(createContext(command), name, addresses));
  customer.command("history <name>")
    .description("show the changes of a customer")
    .action((name: string, _: unknown, command: Command) =>
      showHistory(createContext(command), RowKey.customer + name)
    );
}

async function setCustomer(
  context: CommandContext,
  name: string,
  parameters: readonly string[],
  flags: SetFlags,
): Promise<void> {
  const row = await readRow(context.store, RowKey.customer + name);
  const before = row?.value
    ? JSON.parse(row.value) as Customer
    : { name, template: "", parameters: {}, key_hashes: [] };
  const changedParameters = parameters.map(parseParameter);
  const after = {
    ...before,
    template: flags.template ?? before.template,
    parameters: {
      ...before.parameters,
      ...Object.fromEntries(changedParameters),
    },
    key_hashes: [
      ...new Set([
        ...before.key_hashes,
        ...(flags.addKey ?? []).map(sha256),
      ]),
    ],
  };
  const checked = await checkCustomer(context.store, after);
  if (reportFaults(context, checked.faults)) return;
  if (!context.flags.json) {
    console.log(formatDifferences(diffValues(row ? before : null, after)));
  }
  await publishAndReport(context, {
    key: RowKey.customer + name,
    value: JSON.stringify(after),
    base: flags.base === undefined ? row?.revision ?? 0 : Number(flags.base),
    guards: checked.guards,
  });
}

/**
 * Parses `name=value`; the value is a number, a comma-separated list or text.
 */
function parseParameter(text: string): readonly [string, unknown] {
  const separator = text.indexOf("=");
  const name = text.slice(0, Math.max(0, separator));
  const value = text.slice(separator + 1);
  if (/^-?\d+(\.\d+)?$/.test(value)) return [name, Number(value)];
  const listNames = ["models", "adapters", "plain_services"];
  return [name, listNames.includes(name) ? value.split(",") : value];
}
