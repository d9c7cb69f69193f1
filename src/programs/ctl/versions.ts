/** otterhillctl versions: what is in force on each gateway of a fleet. */
import type { Command } from "commander";
import { ExitCode } from "../common/exit_code.ts";
import { contextOf } from "./context.ts";
import { fleetText, type HostVersions, versionsIn } from "./fleet_versions.ts";

/** A host that has not answered by then is told as silent. */
const ANSWER_MS = 3000;

/** Adds the command. */
export function addVersions(program: Command): void {
  program.command("versions <metrics...>")
    .description(
      "settings and routes in force on gateways, by their metrics addresses " +
        "(IP:port); ends with code 1 unless all answer and agree",
    )
    .action(async (addresses: string[], _: unknown, command: Command) => {
      const answers = await Promise.all(addresses.map(askHost));
      const hosts = answers.filter((one) => typeof one !== "string");
      const silent = answers.filter((one) => typeof one === "string");
      const text = fleetText(hosts, silent);
      contextOf(command).show(text, { hosts, silent });
      if (silent.length > 0 || !agree(hosts)) {
        process.exitCode = ExitCode.failure;
      }
    });
}

/** What is in force on a host; its address where it doesn't say. */
async function askHost(address: string): Promise<HostVersions | string> {
  try {
    const signal = AbortSignal.timeout(ANSWER_MS);
    const answer = await fetch(`http://${address}/metrics`, { signal });
    return versionsIn(address, await answer.text()) ?? address;
  } catch (error) {
    console.error(`${address}: ${String(error)}`);
    return address;
  }
}

function agree(hosts: readonly HostVersions[]): boolean {
  const versions = hosts.map((one) => `${one.settings} ${one.routes}`);
  return new Set(versions).size <= 1;
}
