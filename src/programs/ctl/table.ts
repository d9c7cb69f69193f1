/** Plain tables for people. */

/** Rows under a head, columns as wide as they need. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [head, ...rows];
  const widths = head.map((_, place) =>
    Math.max(...all.map((row) => (row[place] ?? "").length))
  );
  return all
    .map((row) =>
      row.map((cell, place) => cell.padEnd(widths[place] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}
