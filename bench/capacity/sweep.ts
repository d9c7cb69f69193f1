/** Parses the printed table of a sweep over numbers of hosts. */

/** A quantity at each size of a sweep. */
export type SweepRow = {
  readonly name: string;
  /** The median and the busiest host (or the longest time), by size. */
  readonly cells: readonly SweepCell[];
  /**
   * The exponent with which the busiest host's value grows over the number of
   * hosts.
   */
  readonly power: number;
};

/** A quantity at one size. */
export type SweepCell = { readonly middle: number; readonly most: number };

/** A parsed sweep. */
export type Sweep = {
  readonly sizes: readonly number[];
  readonly rows: readonly SweepRow[];
  /** The score and the violated rules of each size. */
  readonly days: readonly {
    readonly name: string;
    readonly worth: number;
    readonly broken: string;
  }[];
};

const WORKLOAD =
  /^(sweep-\d+)\s+\S+\s+\S+\s+([\d.]+)\s.*?(?:BROKEN: (.*?))?(?: \(else.*)?$/;
const ROW = /^(.+?)\s{2,}((?:[\d.]+ \/ [\d.]+\s*)+)\s([\d.]+)\s+\S+$/;

/** Parses a printed table; throws if it has no line of sizes. */
export function readSweep(text: string): Sweep {
  const lines = text.split("\n");
  const head = lines.find((line) => /^\s+\d+(\s+\d+)*\s+power/.test(line));
  if (head === undefined) throw new Error("No sizes in the table of a sweep");
  const sizes = (head.split("power")[0] ?? "").trim().split(/\s+/).map(Number);
  return {
    sizes,
    rows: lines.flatMap((line) => parseRow(line)),
    days: lines.flatMap((line) => parseWorkload(line)),
  };
}

function parseRow(line: string): SweepRow[] {
  const [, name, text, power] = ROW.exec(line) ?? [];
  if (name === undefined || text === undefined) return [];
  const cells = [...text.matchAll(/([\d.]+) \/ ([\d.]+)/g)].map((cell) => ({
    middle: Number(cell[1]),
    most: Number(cell[2]),
  }));
  return [{ name: name.replace(/^\w+: /, ""), cells, power: Number(power) }];
}

function parseWorkload(line: string): Sweep["days"][number][] {
  const [, name, worth, broken = ""] = WORKLOAD.exec(line) ?? [];
  return name === undefined ? [] : [{ name, worth: Number(worth), broken }];
}

/** Extrapolates the busiest host's value to another number of hosts. */
export function extrapolate(
  hosts: number,
  { cells, power }: SweepRow,
  sizes: readonly number[],
): number {
  const most = cells.at(-1)?.most ?? 0;
  return most * (hosts / (sizes.at(-1) ?? hosts)) ** power;
}

/** Formats a sweep as a Markdown table. */
export function formatTable(sweep: Sweep, hosts: number): string {
  const { sizes, rows, days } = sweep;
  const head = ["", ...sizes.map(String), "power", `busiest at ${hosts}`];
  const lines = rows.map((row) => {
    const cells = row.cells.map(({ middle, most }) => `${middle} / ${most}`);
    const carried = extrapolate(hosts, row, sizes).toPrecision(3);
    return [row.name, ...cells, String(row.power), String(Number(carried))];
  });
  const worths = days.map(({ worth, broken }) =>
    broken === "" ? String(worth) : `${worth}, broken: ${broken}`
  );
  const all = [
    head,
    head.map(() => "---"),
    ...lines,
    ["worth", ...worths, "", ""],
  ];
  return all.map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}
