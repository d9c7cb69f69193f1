/** Reads the load of hosts by their number from the printed table of a sweep. */

/** One quantity over the sizes of a sweep. */
export type SweepRow = {
  readonly name: string;
  /** The middle and the busiest host (or the longest time), by size. */
  readonly cells: readonly SweepCell[];
  /** The busiest grows as the number of hosts to this power. */
  readonly power: number;
};

/** A quantity at one size. */
export type SweepCell = { readonly middle: number; readonly most: number };

/** A sweep as it was printed. */
export type Sweep = {
  readonly sizes: readonly number[];
  readonly rows: readonly SweepRow[];
  /** What each size was worth, and the rules that it broke. */
  readonly days: readonly {
    readonly name: string;
    readonly worth: number;
    readonly broken: string;
  }[];
};

const DAY =
  /^(sweep-\d+)\s+\S+\s+\S+\s+([\d.]+)\s.*?(?:BROKEN: (.*?))?(?: \(else.*)?$/;
const ROW = /^(.+?)\s{2,}((?:[\d.]+ \/ [\d.]+\s*)+)\s([\d.]+)\s+\S+$/;

/** Reads a printed table; fails where it has no sizes. */
export function readSweep(text: string): Sweep {
  const lines = text.split("\n");
  const head = lines.find((line) => /^\s+\d+(\s+\d+)*\s+power/.test(line));
  if (head === undefined) throw new Error("No sizes in the table of a sweep");
  const sizes = (head.split("power")[0] ?? "").trim().split(/\s+/).map(Number);
  return {
    sizes,
    rows: lines.flatMap((line) => rowOf(line)),
    days: lines.flatMap((line) => dayOf(line)),
  };
}

function rowOf(line: string): SweepRow[] {
  const [, name, text, power] = ROW.exec(line) ?? [];
  if (name === undefined || text === undefined) return [];
  const cells = [...text.matchAll(/([\d.]+) \/ ([\d.]+)/g)].map((cell) => ({
    middle: Number(cell[1]),
    most: Number(cell[2]),
  }));
  return [{ name: name.replace(/^\w+: /, ""), cells, power: Number(power) }];
}

function dayOf(line: string): Sweep["days"][number][] {
  const [, name, worth, broken = ""] = DAY.exec(line) ?? [];
  return name === undefined ? [] : [{ name, worth: Number(worth), broken }];
}

/** The busiest host's figure at another number of hosts, by the row's power. */
export function carriedTo(
  hosts: number,
  { cells, power }: SweepRow,
  sizes: readonly number[],
): number {
  const most = cells.at(-1)?.most ?? 0;
  return most * (hosts / (sizes.at(-1) ?? hosts)) ** power;
}

/** The table in Markdown. */
export function tableOf(sweep: Sweep, hosts: number): string {
  const { sizes, rows, days } = sweep;
  const head = ["", ...sizes.map(String), "power", `busiest at ${hosts}`];
  const lines = rows.map((row) => {
    const cells = row.cells.map(({ middle, most }) => `${middle} / ${most}`);
    const carried = carriedTo(hosts, row, sizes).toPrecision(3);
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
