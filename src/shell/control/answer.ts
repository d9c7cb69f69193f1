/** Handles operators' calls. */
import type { AttemptId, TableChange, World } from "../../core/mod.ts";
import type {
  ControlReply,
  ControlRequest,
  Held,
  Rows,
  WriteAnswer,
  WriteAsk,
} from "../../messages/control.ts";
import type { BurnTable } from "../measures/burn_table.ts";
import type { Explanations } from "../measures/explanations.ts";
import type { PlatformClient } from "../platform/client.ts";
import { statusOf } from "./status.ts";

/** Options of {@link answerControl}. */
export type ControlOptions = {
  readonly world: World;
  readonly platform: PlatformClient;
  readonly burn: BurnTable;
  readonly explanations: Explanations;
  /** Hashes of the operator keys; when empty, calls need no key. */
  readonly keyHashes: readonly string[];
  readonly now: () => number;
  readonly wallNow: () => number;
  /** Called when the platform has accepted a write. */
  onPublished(): void;
  /** Lists an upstream's attempts; rejects when it is unreachable. */
  held(upstream: string): Promise<readonly AttemptId[]>;
};

type Kind = NonNullable<ControlReply["kind"]>;

/** Checks the operator key of a call and handles it. */
export async function answerControl(
  options: ControlOptions,
  request: ControlRequest,
): Promise<ControlReply> {
  const needsNoKey = options.keyHashes.length === 0;
  if (!needsNoKey && !options.keyHashes.includes(request.keyHash)) {
    return { kind: { $case: "error", value: "The operator key is not known" } };
  }
  return { kind: await handleCall(options, request) };
}

async function handleCall(
  options: ControlOptions,
  request: ControlRequest,
): Promise<Kind> {
  const { kind } = request;
  const { world } = options;
  switch (kind?.$case) {
    case "status":
      return { $case: "status", value: statusOf(world, options.now()) };
    case "explain": {
      const lines = [...options.explanations.of(kind.value.request)];
      return { $case: "explanation", value: { lines } };
    }
    case "rows":
      return { $case: "rows", value: rowsOf(world, kind.value.prefix) };
    case "write":
      return { $case: "written", value: await write(options, kind.value) };
    case "held":
      return { $case: "held", value: await heldOf(options, kind.value) };
    case "burn": {
      const windows = options.burn.windows(options.wallNow());
      return { $case: "burn", value: { windows } };
    }
    case undefined:
      return { $case: "error", value: "The call is not known" };
  }
}

function rowsOf(world: World, prefix: string): Rows {
  const rows = [...world.settings.rows.values()]
    .filter((row) => row.key.startsWith(prefix))
    .map((row) => ({ ...row, value: row.value ?? "" }));
  return { version: world.settings.version, rows };
}

async function write(
  options: ControlOptions,
  request: WriteAsk,
): Promise<WriteAnswer> {
  const changes = request.changes.map((change): TableChange => ({
    key: change.key,
    ...(change.value === undefined ? {} : { value: change.value || null }),
    ...(change.ifRevision === undefined
      ? {}
      : { ifRevision: change.ifRevision }),
  }));
  try {
    const outcome = await options.platform.writeRows(changes);
    if (outcome.type === "conflict") {
      const conflicts = [...outcome.keys];
      return { outcome: "conflict", revision: 0, conflicts };
    }
    const { revision } = outcome;
    options.onPublished();
    return { outcome: "written", revision, conflicts: [] };
  } catch {
    return { outcome: "lost", revision: 0, conflicts: [] };
  }
}

async function heldOf(
  options: ControlOptions,
  request: { readonly upstream: string },
): Promise<Held> {
  try {
    const attempts = [...await options.held(request.upstream)];
    return { reached: true, attempts };
  } catch {
    return { reached: false, attempts: [] };
  }
}
