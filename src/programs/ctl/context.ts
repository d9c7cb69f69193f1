/** Flags, store access and output shared by all otterhillctl commands. */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import type { Command } from "commander";
import {
  type Change,
  publish,
  type PublishOutcome,
} from "../../operators/publish.ts";
import { hostStore, platformStore } from "../../operators/store_clients.ts";
import type { Store } from "../../operators/store.ts";
import type { ControlTarget } from "../../shell/mod.ts";
import { sha256 } from "../../util/sha256.ts";
import { ExitCode } from "../common/exit_code.ts";

/** Flags accepted by all commands. */
export type GlobalFlags = {
  readonly platform?: string;
  readonly host?: string[];
  readonly json?: boolean;
  readonly author?: string;
  readonly dryRun?: boolean;
};

const CONTROL_CALL_TIMEOUT_MS = 3000;
const PLATFORM_CALL_TIMEOUT_MS = 2000;

/** Flags, targets and output of one command invocation. */
export type CommandContext = {
  readonly flags: GlobalFlags;
  readonly hosts: readonly ControlTarget[];
  /**
   * The platform, or else the first entry host. Exits with a usage error when
   * neither is given.
   */
  readonly store: Store;
  /** Prints `text`, or `value` as JSON with --json. */
  show(text: string, value: unknown): void;
};

/** Creates the context of a command from its flags and the environment. */
export function createContext(command: Command): CommandContext {
  const flags = command.optsWithGlobals<GlobalFlags>();
  const key = process.env["OTTERHILL_OPERATOR_KEY"] ?? "";
  const hosts = (flags.host ?? []).map((address) => ({
    address,
    keyHash: sha256(key),
    timeoutMs: CONTROL_CALL_TIMEOUT_MS,
  }));
  return {
    flags,
    hosts,
    get store() {
      return createStore(flags, hosts);
    },
    show: (text, value) =>
      console.log(flags.json ? JSON.stringify(value) : text),
  };
}

function createStore(
  flags: GlobalFlags,
  hosts: readonly ControlTarget[],
): Store {
  if (flags.platform !== undefined) {
    return platformStore(flags.platform, PLATFORM_CALL_TIMEOUT_MS);
  }
  const [first] = hosts;
  if (first) return hostStore(first);
  console.error("--platform or --host is missing; see --help");
  process.exit(ExitCode.usage);
}

/** The part of a {@link Change} that a command supplies. */
export type RowChange = Pick<Change, "key" | "value" | "base" | "guards">;

/** Publishes a change, prints its outcome and sets the exit code. */
export async function publishAndReport(
  context: CommandContext,
  change: RowChange,
): Promise<void> {
  const outcome = await publish(context.store, {
    ...change,
    id: randomUUID(),
    author: context.flags.author ?? userInfo().username,
    at: Date.now(),
  });
  context.show(formatOutcome(change, outcome), outcome);
  process.exitCode = exitCodeOf(outcome);
}

function exitCodeOf(outcome: PublishOutcome): number {
  switch (outcome.type) {
    case "accepted":
      return ExitCode.ok;
    case "conflict":
      return ExitCode.conflict;
    case "unknown":
      return ExitCode.unknown;
  }
}

function formatOutcome(change: RowChange, outcome: PublishOutcome): string {
  switch (outcome.type) {
    case "accepted": {
      const note = outcome.resolved ? " (an answer was lost; read back)" : "";
      return `accepted as version ${outcome.version}${note}`;
    }
    case "conflict":
      return [
        `conflict: ${outcome.keys.join(", ")} changed since it was read`,
        `yours:  ${change.value ?? "(removed)"}`,
        `theirs: ${outcome.theirs?.value ?? "(none)"}`,
      ].join("\n");
    case "unknown":
      return `not known: no answer; look for change ${outcome.id} later`;
  }
}

/** Prints faults and sets the exit code; returns whether there are any. */
export function reportFaults(
  context: CommandContext,
  faults: readonly string[],
): boolean {
  if (faults.length === 0) return false;
  context.show(faults.join("\n"), { faults });
  process.exitCode = ExitCode.usage;
  return true;
}
