/** What every command of otterhillctl works with. */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import type { Command } from "commander";
import {
  type Change,
  publish,
  type Published,
} from "../../operators/publish.ts";
import { hostStore, platformStore } from "../../operators/reach.ts";
import type { Store } from "../../operators/store.ts";
import type { ControlTarget } from "../../shell/mod.ts";
import { sha256 } from "../../util/sha256.ts";
import { ExitCode } from "../common/exit_code.ts";

/** Flags of all commands. */
export type GlobalFlags = {
  readonly platform?: string;
  readonly host?: string[];
  readonly json?: boolean;
  readonly author?: string;
  readonly dryRun?: boolean;
};

/** A call to an entry host is given up after this. */
const CONTROL_CALL_TIMEOUT_MS = 3000;
/** A call to the platform is given up after this. */
const PLATFORM_CALL_TIMEOUT_MS = 2000;

/** What a command works with. */
export type CommandContext = {
  readonly flags: GlobalFlags;
  readonly hosts: readonly ControlTarget[];
  /** The platform, or the first entry host; ends the program without both. */
  readonly store: Store;
  /** Prints for people, or as JSON for scripts. */
  show(text: string, value: unknown): void;
};

/** The context of a command. */
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

/** What a command wants to change. */
export type RowChange = Pick<Change, "key" | "value" | "base" | "guards">;

/** Publishes a change, tells how it went and sets the exit code. */
export async function publishAndReport(
  context: CommandContext,
  wish: RowChange,
): Promise<void> {
  const outcome = await publish(context.store, {
    ...wish,
    id: randomUUID(),
    author: context.flags.author ?? userInfo().username,
    at: Date.now(),
  });
  context.show(formatOutcome(wish, outcome), outcome);
  process.exitCode = exitCodeOf(outcome);
}

function exitCodeOf(outcome: Published): number {
  switch (outcome.type) {
    case "accepted":
      return ExitCode.ok;
    case "conflict":
      return ExitCode.conflict;
    case "unknown":
      return ExitCode.unknown;
  }
}

function formatOutcome(wish: RowChange, outcome: Published): string {
  switch (outcome.type) {
    case "accepted": {
      const how = outcome.resolved ? " (an answer was lost; read back)" : "";
      return `accepted as version ${outcome.version}${how}`;
    }
    case "conflict":
      return [
        `conflict: ${outcome.keys.join(", ")} changed since it was read`,
        `yours:  ${wish.value ?? "(removed)"}`,
        `theirs: ${outcome.theirs?.value ?? "(none)"}`,
      ].join("\n");
    case "unknown":
      return `not known: no answer; look for change ${outcome.id} later`;
  }
}

/** Prints faults and sets the exit code; true when there were some. */
export function reportFaults(
  context: CommandContext,
  faults: readonly string[],
): boolean {
  if (faults.length === 0) return false;
  context.show(faults.join("\n"), { faults });
  process.exitCode = ExitCode.usage;
  return true;
}
