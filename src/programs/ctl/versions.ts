/** otterhillctl versions: settings and routes in force on each gateway. */
import type { Command } from "commander";
import { ExitCode } from "../common/exit_code.ts";
import { createContext } from "./context.ts";
import {
  formatFleetVersions,
  type HostVersions,
  parseHostVersions,
} from "./fleet_versions.ts";

/** A host that does not respond in time is listed as unreachable. */
const RESPONSE_TIMEOUT_MS = 3000;

export function addVersionsCommand(program: Command): void {
  program.command("versions <metrics...>")
    .description(
      "settings and routes in force on gateways, by their metrics addresses " +
        "(IP:port); exits with code 1 unless all respond and agree",
    )
    .action(async (addresses: string[], _: unknown, command: Command) => {
      const results = await Promise.all(addresses.map(fetchHostVersions));
      const hosts = results.filter((result) => typeof result !== "string");
      const unreachable = results.filter((result) =>
        typeof result === "string"
      );
      const text = formatFleetVersions(hosts, unreachable);
      createContext(command).show(text, { hosts, silent: unreachable });
      if (unreachable.length > 0 || !haveEqualVersions(hosts)) {
        process.exitCode = ExitCode.failure;
      }
    });
}

/** Fetches a host's versions; returns its address when that fails. */
async function fetchHostVersions(
  address: string,
): Promise<HostVersions | string> {
  try {
    const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
    const response = await fetch(`http://${address}/metrics`, { signal });
    return parseHostVersions(address, await response.text()) ?? address;
  } catch (error) {
    console.error(`${address}: ${String(error)}`);
    return address;
  }
}

function haveEqualVersions(hosts: readonly HostVersions[]): boolean {
  const versions = hosts.map((host) => `${host.settings} ${host.routes}`);
  return new Set(versions).size <= 1;
}
