/** Shows settings rows and their history. */
import { CHANGE_PREFIX, type ChangeRecord } from "../../operators/publish.ts";
import type { CommandContext } from "./context.ts";
import { formatTable } from "./table.ts";

/** Shows the row with the given name, or lists all rows under a prefix. */
export async function showRows(
  context: CommandContext,
  prefix: string,
  name?: string,
): Promise<void> {
  const all = await context.store.read(prefix + (name ?? ""));
  const rows = all
    .filter((row) => row.value !== null)
    .filter((row) => name === undefined || row.key === prefix + name)
    .map((row) => ({
      name: row.key.slice(prefix.length),
      version: row.revision,
      value: JSON.parse(row.value ?? "null") as unknown,
    }));
  const text = name === undefined
    ? formatTable(
      ["name", "version"],
      rows.map((row) => [row.name, String(row.version)]),
    )
    : rows.map((row) =>
      `version ${row.version}\n${JSON.stringify(row.value, null, 2)}`
    ).join("\n");
  context.show(text || "none", rows);
}

/** Shows the changes of a row, oldest first. */
export async function showHistory(
  context: CommandContext,
  key: string,
): Promise<void> {
  const rows = await context.store.read(CHANGE_PREFIX);
  const changes = rows.flatMap((row) => {
    const record = JSON.parse(row.value ?? "{}") as ChangeRecord;
    return record.key === key ? [{ version: row.revision, ...record }] : [];
  });
  const text = formatTable(
    ["version", "when", "who", "value"],
    changes.map((change) => [
      String(change.version),
      new Date(change.at).toISOString(),
      change.author,
      change.value ?? "(removed)",
    ]),
  );
  context.show(changes.length === 0 ? "no changes" : text, changes);
}
