/** otterhillctl stop: plan, watch and cancel planned stops of upstreams. */
import type { Command } from "commander";
import { readRow, stopKey } from "../../operators/publish.ts";
import { callControl } from "../../shell/mod.ts";
import { ExitCode } from "../common/exit_code.ts";
import {
  type CommandContext,
  createContext,
  publishAndReport,
} from "./context.ts";

const POLL_INTERVAL_MS = 1000;
/** Time for a new stop to become visible on the host that is polled. */
const STOP_PROPAGATION_TIMEOUT_MS = 12_000;

export function addStopCommands(program: Command): void {
  const stop = program.command("stop")
    .description(
      "planned stops of upstreams; running requests are not interrupted",
    );
  stop.command("plan <upstream>")
    .description("stop sending new requests to the upstream")
    .action(async (upstream: string, _: unknown, command: Command) => {
      await setStop(createContext(command), upstream, true);
    });
  stop.command("cancel <upstream>")
    .description("resume sending requests to the upstream")
    .action(async (upstream: string, _: unknown, command: Command) => {
      await setStop(createContext(command), upstream, false);
    });
  stop.command("watch <upstream>")
    .description("wait until the upstream reports no running attempts")
    .action(async (upstream: string, _: unknown, command: Command) => {
      await waitUntilIdle(createContext(command), upstream);
    });
}

async function setStop(
  context: CommandContext,
  upstream: string,
  on: boolean,
): Promise<void> {
  const row = await readRow(context.store, stopKey(upstream));
  if ((row !== undefined) === on) {
    const text = on ? "a stop is planned already" : "no stop is planned";
    return context.show(text, { upstream, planned: on });
  }
  const { author = "" } = context.flags;
  await publishAndReport(context, {
    key: stopKey(upstream),
    value: on ? JSON.stringify({ author, at: Date.now() }) : null,
    base: row?.revision ?? 0,
    guards: [],
  });
}

async function waitUntilIdle(
  context: CommandContext,
  upstream: string,
): Promise<void> {
  const startedAt = Date.now();
  let stopSeen = false;
  for (;;) {
    const row = await readRow(context.store, stopKey(upstream));
    stopSeen ||= row !== undefined;
    const timedOut = Date.now() - startedAt > STOP_PROPAGATION_TIMEOUT_MS;
    if (!row && (stopSeen || timedOut)) {
      context.show("no stop is planned", { upstream, planned: false });
      process.exitCode = ExitCode.failure;
      return;
    }
    const { acceptingHosts, attempts } = await pollHosts(context, upstream);
    if (row && acceptingHosts.length === 0 && attempts === 0) {
      return context.show(
        `${upstream} holds nothing; it can be stopped`,
        { upstream, held: attempts, taking: acceptingHosts },
      );
    }
    if (!context.flags.json) {
      const pending = acceptingHosts.length > 0
        ? `, not yet in force on ${acceptingHosts.join(", ")}`
        : "";
      console.log(`${upstream} holds ${attempts ?? "(not reached)"}${pending}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/**
 * Polls all hosts: which of them still accept the upstream for new requests,
 * and how many attempts the upstream reports (undefined if none reached it).
 */
async function pollHosts(context: CommandContext, upstream: string) {
  const acceptingHosts: string[] = [];
  let attempts: number | undefined;
  for (const target of context.hosts) {
    try {
      const status = await callControl(target, { $case: "status", value: {} });
      if (status.$case !== "status") continue;
      const row = status.value.upstreams.find((entry) => entry.id === upstream);
      if (row?.accepting !== false) acceptingHosts.push(status.value.host);
      const value = { upstream };
      const answer = await callControl(target, { $case: "held", value });
      if (answer.$case !== "held" || !answer.value.reached) continue;
      attempts = answer.value.attempts.length;
    } catch (error) {
      console.error(error instanceof Error ? error.message : String(error));
    }
  }
  return { acceptingHosts, attempts };
}
