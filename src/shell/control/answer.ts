/** Answers operators' calls. */
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

/** What operators' calls are answered from. */
export type ControlSource = {
  readonly world: World;
  readonly platform: PlatformClient;
  readonly burn: BurnTable;
  readonly explanations: Explanations;
  /** Hashes of the operator keys; none: every call is served. */
  readonly keyHashes: readonly string[];
  readonly now: () => number;
  readonly wallNow: () => number;
  /** A publish was passed on and accepted. */
  onPublished(): void;
  /** What an upstream holds; rejects when it can't be reached. */
  held(upstream: string): Promise<readonly AttemptId[]>;
};

type Kind = NonNullable<ControlReply["kind"]>;

/** Answers one call. */
export async function answerControl(
  source: ControlSource,
  request: ControlRequest,
): Promise<ControlReply> {
  const open = source.keyHashes.length === 0;
  if (!open && !source.keyHashes.includes(request.keyHash)) {
    return { kind: { $case: "error", value: "The operator key is not known" } };
  }
  return { kind: await answer(source, request) };
}

async function answer(
  source: ControlSource,
  request: ControlRequest,
): Promise<Kind> {
  const { kind } = request;
  const { world } = source;
  switch (kind?.$case) {
    case "status":
      return { $case: "status", value: statusOf(world, source.now()) };
    case "explain": {
      const lines = [...source.explanations.of(kind.value.request)];
      return { $case: "explanation", value: { lines } };
    }
    case "rows":
      return { $case: "rows", value: rowsOf(world, kind.value.prefix) };
    case "write":
      return { $case: "written", value: await write(source, kind.value) };
    case "held":
      return { $case: "held", value: await heldOf(source, kind.value) };
    case "burn": {
      const windows = source.burn.windows(source.wallNow());
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
  source: ControlSource,
  ask: WriteAsk,
): Promise<WriteAnswer> {
  const changes = ask.changes.map((one): TableChange => ({
    key: one.key,
    ...(one.value === undefined ? {} : { value: one.value || null }),
    ...(one.ifRevision === undefined ? {} : { ifRevision: one.ifRevision }),
  }));
  try {
    const outcome = await source.platform.writeRows(changes);
    if (outcome.type === "conflict") {
      const conflicts = [...outcome.keys];
      return { outcome: "conflict", revision: 0, conflicts };
    }
    const { revision } = outcome;
    source.onPublished();
    return { outcome: "written", revision, conflicts: [] };
  } catch {
    return { outcome: "lost", revision: 0, conflicts: [] };
  }
}

async function heldOf(
  source: ControlSource,
  ask: { readonly upstream: string },
): Promise<Held> {
  try {
    const attempts = [...await source.held(ask.upstream)];
    return { reached: true, attempts };
  } catch {
    return { reached: false, attempts: [] };
  }
}
