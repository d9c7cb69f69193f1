/** otterhillctl stop: plan, watch and cancel stops of upstreams. */
import type { Command } from "commander";
import { readRow, stopKey } from "../../operators/publish.ts";
import { callControl } from "../../shell/mod.ts";
import { ExitCode } from "../common/exit_code.ts";
import {
  type CommandContext,
  createContext,
  publishAndReport,
} from "./context.ts";

/** Time between two looks. */
const POLL_INTERVAL_MS = 1000;
/** A stop just planned may not be seen by the host asked until then. */
const STOP_PROPAGATION_TIMEOUT_MS = 12_000;

/** Adds the stop commands. */
export function addStopCommands(program: Command): void {
  const stop = program.command("stop")
    .description("planned stops of upstreams; nothing in progress is cut");
  stop.command("plan <upstream>")
    .description("give the upstream no new work")
    .action(async (upstream: string, _: unknown, command: Command) => {
      await setStop(createContext(command), upstream, true);
    });
  stop.command("cancel <upstream>")
    .description("give the upstream work again")
    .action(async (upstream: string, _: unknown, command: Command) => {
      await setStop(createContext(command), upstream, false);
    });
  stop.command("watch <upstream>")
    .description("wait until nothing runs there, by its own count")
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
  const from = Date.now();
  let seen = false;
  for (;;) {
    const row = await readRow(context.store, stopKey(upstream));
    seen ||= row !== undefined;
    const late = Date.now() - from > STOP_PROPAGATION_TIMEOUT_MS;
    if (!row && (seen || late)) {
      context.show("no stop is planned", { upstream, planned: false });
      process.exitCode = ExitCode.failure;
      return;
    }
    const { taking, held } = await pollHosts(context, upstream);
    if (row && taking.length === 0 && held === 0) {
      return context.show(
        `${upstream} holds nothing; it can be stopped`,
        { upstream, held, taking },
      );
    }
    if (!context.flags.json) {
      const late = taking.length > 0
        ? `, not yet in force on ${taking.join(", ")}`
        : "";
      console.log(`${upstream} holds ${held ?? "(not reached)"}${late}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Hosts that would still give it work, and what it holds. */
async function pollHosts(context: CommandContext, upstream: string) {
  const taking: string[] = [];
  let held: number | undefined;
  for (const target of context.hosts) {
    try {
      const status = await callControl(target, { $case: "status", value: {} });
      if (status.$case !== "status") continue;
      const row = status.value.upstreams.find((one) => one.id === upstream);
      if (row?.accepting !== false) taking.push(status.value.host);
      const value = { upstream };
      const answer = await callControl(target, { $case: "held", value });
      if (answer.$case !== "held" || !answer.value.reached) continue;
      held = answer.value.attempts.length;
    } catch (error) {
      console.error(error instanceof Error ? error.message : String(error));
    }
  }
  return { taking, held };
}
