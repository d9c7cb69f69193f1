/** Compares two JSON-like values path by path. */

/** A path whose values differ. */
export type Difference = {
  readonly path: string;
  readonly before: string;
  readonly after: string;
};

/** Shown when a path exists on the other side only. */
const ABSENT = "(none)";

/** Returns the differing paths of two values, sorted. */
export function diffValues(before: unknown, after: unknown): Difference[] {
  const oldValues = flatten(before);
  const newValues = flatten(after);
  const paths = new Set([...oldValues.keys(), ...newValues.keys()]);
  return [...paths].sort().flatMap((path) => {
    const oldText = oldValues.get(path) ?? ABSENT;
    const newText = newValues.get(path) ?? ABSENT;
    return oldText === newText
      ? []
      : [{ path, before: oldText, after: newText }];
  });
}

/** Maps the path of each leaf to its JSON text; arrays count as leaves. */
function flatten(value: unknown, path = ""): Map<string, string> {
  const leaves = new Map<string, string>();
  if (value === undefined || value === null) return leaves;
  if (typeof value !== "object" || Array.isArray(value)) {
    leaves.set(path, JSON.stringify(value));
    return leaves;
  }
  for (const [key, inner] of Object.entries(value)) {
    const innerPath = path === "" ? key : `${path}.${key}`;
    for (const [leaf, text] of flatten(inner, innerPath)) {
      leaves.set(leaf, text);
    }
  }
  return leaves;
}

/** Formats differences as text, one line each. */
export function formatDifferences(entries: readonly Difference[]): string {
  if (entries.length === 0) return "no difference";
  return entries
    .map(({ path, before, after }) => `${path}: ${before} -> ${after}`)
    .join("\n");
}
