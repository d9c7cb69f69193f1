/** otterhillctl customer usage: a customer's requests at services' planners. */
import { ExitCode } from "../common/exit_code.ts";
import type { CommandContext } from "./context.ts";
import { formatTable } from "./table.ts";

/** A host that does not respond in time is listed as unreachable. */
const RESPONSE_TIMEOUT_MS = 3000;

/** What a customer asks of one service, as its planner reports it. */
export type CustomerUsage = {
  readonly address: string;
  readonly service: string;
  readonly priority: string;
  readonly requestsPerSecond: number;
  readonly grantsPerSecond: number;
  /** Tokens of memory, or calls in flight. */
  readonly inUse: number;
  /** Whether it is held to its share. */
  readonly isHeld: boolean;
};

/** Parses a customer's usage from a host's metrics page. */
export function parseCustomerUsage(
  address: string,
  customer: string,
  page: string,
): CustomerUsage[] {
  const gauges = new Map<string, Map<string, number>>();
  const line = /^otterhill_customer_(\w+)\{(.*)\} (\S+)$/gm;
  for (const [, gauge = "", labels = "", value] of page.matchAll(line)) {
    if (labelOf(labels, "customer") !== customer) continue;
    const values = gauges.get(labels) ?? new Map<string, number>();
    gauges.set(labels, values.set(gauge, Number(value)));
  }
  return [...gauges].map(([labels, values]) => ({
    address,
    service: labelOf(labels, "service") ?? "",
    priority: labelOf(labels, "priority") ?? "",
    requestsPerSecond: values.get("requests_per_second") ?? 0,
    grantsPerSecond: values.get("grants_per_second") ?? 0,
    inUse: values.get("in_use") ?? 0,
    isHeld: values.get("held") === 1,
  }));
}

/** Shows the usage of one customer at all hosts. */
export async function showUsage(
  context: CommandContext,
  customer: string,
  addresses: readonly string[],
): Promise<void> {
  const unreachable: string[] = [];
  const usage = await Promise.all(addresses.map(async (address) => {
    try {
      const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
      const response = await fetch(`http://${address}/metrics`, { signal });
      return parseCustomerUsage(address, customer, await response.text());
    } catch (error) {
      console.error(`${address}: ${String(error)}`);
      unreachable.push(address);
      return [];
    }
  }));
  const rows = usage.flat();
  const text = [formatUsage(rows)];
  if (unreachable.length > 0) text.push(`no answer: ${unreachable.join(", ")}`);
  context.show(text.join("\n"), { customer, usage: rows, unreachable });
  if (unreachable.length > 0) process.exitCode = ExitCode.failure;
}

function formatUsage(rows: readonly CustomerUsage[]): string {
  if (rows.length === 0) return "not among the most active at any planner";
  return formatTable(
    ["planner", "service", "priority", "asks/s", "gets/s", "in use", "held"],
    rows.map((row) => [
      row.address,
      row.service,
      row.priority,
      String(row.requestsPerSecond),
      String(row.grantsPerSecond),
      String(row.inUse),
      row.isHeld ? "yes" : "no",
    ]),
  );
}

/** The value of a label, in the escaping of the metrics page. */
function labelOf(labels: string, name: string): string | undefined {
  const quoted = new RegExp(`(?:^|,)${name}=("(?:[^"\\\\]|\\\\.)*")`).exec(
    labels,
  )
    ?.[1];
  return quoted === undefined ? undefined : JSON.parse(quoted) as string;
}
