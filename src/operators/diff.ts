/** Shows what a change changes, a line for each path. */

/** One path that differs. */
export type Difference = {
  readonly path: string;
  readonly before: string;
  readonly after: string;
};

/** What stands where one side has nothing. */
const NOTHING = "(none)";

/** The paths where two values differ. */
export function differences(before: unknown, after: unknown): Difference[] {
  const old = flatten(before);
  const fresh = flatten(after);
  const paths = new Set([...old.keys(), ...fresh.keys()]);
  return [...paths].sort().flatMap((path) => {
    const was = old.get(path) ?? NOTHING;
    const is = fresh.get(path) ?? NOTHING;
    return was === is ? [] : [{ path, before: was, after: is }];
  });
}

function flatten(value: unknown, path = ""): Map<string, string> {
  const found = new Map<string, string>();
  if (value === undefined || value === null) return found;
  if (typeof value !== "object" || Array.isArray(value)) {
    found.set(path, JSON.stringify(value));
    return found;
  }
  for (const [key, inner] of Object.entries(value)) {
    const place = path === "" ? key : `${path}.${key}`;
    for (const [its, text] of flatten(inner, place)) found.set(its, text);
  }
  return found;
}

/** Differences as lines of text. */
export function differenceText(lines: readonly Difference[]): string {
  if (lines.length === 0) return "no difference";
  return lines
    .map(({ path, before, after }) => `${path}: ${before} -> ${after}`)
    .join("\n");
}
