/** Plain-text tables. */

/** Formats rows under a header; each column is as wide as its longest cell. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? "").length))
  );
  return all
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}
