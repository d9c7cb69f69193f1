/** otterhillctl versions: what is in force on each gateway of a fleet. */
import type { Command } from "commander";
import { ExitCode } from "../common/exit_code.ts";
import { createContext } from "./context.ts";
import {
  formatFleetVersions,
  type HostVersions,
  parseHostVersions,
} from "./fleet_versions.ts";

/** A host that has not answered by then is told as silent. */
const RESPONSE_TIMEOUT_MS = 3000;

/** Adds the command. */
export function addVersionsCommand(program: Command): void {
  program.command("versions <metrics...>")
    .description(
      "settings and routes in force on gateways, by their metrics addresses " +
        "(IP:port); ends with code 1 unless all answer and agree",
    )
    .action(async (addresses: string[], _: unknown, command: Command) => {
      const answers = await Promise.all(addresses.map(fetchHostVersions));
      const hosts = answers.filter((one) => typeof one !== "string");
      const silent = answers.filter((one) => typeof one === "string");
      const text = formatFleetVersions(hosts, silent);
      createContext(command).show(text, { hosts, silent });
      if (silent.length > 0 || !haveEqualVersions(hosts)) {
        process.exitCode = ExitCode.failure;
      }
    });
}

/** What is in force on a host; its address where it doesn't say. */
async function fetchHostVersions(
  address: string,
): Promise<HostVersions | string> {
  try {
    const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
    const answer = await fetch(`http://${address}/metrics`, { signal });
    return parseHostVersions(address, await answer.text()) ?? address;
  } catch (error) {
    console.error(`${address}: ${String(error)}`);
    return address;
  }
}

function haveEqualVersions(hosts: readonly HostVersions[]): boolean {
  const versions = hosts.map((one) => `${one.settings} ${one.routes}`);
  return new Set(versions).size <= 1;
}
