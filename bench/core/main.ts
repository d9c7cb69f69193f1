/** npm run bench:core: slopes of the core, and the two-year size from them. */
import { execFileSync } from "node:child_process";
import { writeSection } from "../report.ts";
import { table } from "../policy/tables.ts";
import { tryGossip } from "./gossip.ts";
import { at } from "./measure.ts";
import { measureSlopes, type Slope } from "./slopes.ts";
import { targetRows } from "./target.ts";

/** Hosts of a region, and peers told in each round. */
const GOSSIPS = [[9, 1], [9, 3], [47, 1], [110, 1], [110, 2], [
  110,
  3,
]] as const;
const PAGE = "docs/CAPACITY.md";
const slopes = measureSlopes();
const commit = execFileSync("git", ["describe", "--always", "--dirty"], {
  encoding: "utf8",
}).trim();
const head = `Written by \`npm run bench:core\` at commit ${commit}, ` +
  `Node.js ${process.version}.`;

const slopeTable = table(
  ["what", "unit", "over", "measured", "base", "slope"],
  slopes.map(slopeRow),
);
writeSection(PAGE, "slopes", `## Slopes\n\n${head}\n\n${slopeTable}`);
const gossips = GOSSIPS.map(([hosts, fanout]) => tryGossip(hosts, fanout));
const gossipTable = table(
  ["hosts", "peers a round", "oldest heartbeat", "sent by a host"],
  gossips.map((one) => [
    String(one.hosts),
    String(one.fanout),
    `${(one.oldestMs / 1000).toFixed(1)} s`,
    `${one.messagesPerSecond.toFixed(1)} messages, ` +
    `${(one.bytesPerSecond / 1000).toFixed(1)} KB a second`,
  ]),
);
writeSection(PAGE, "gossip", `## Gossip\n\n${head}\n\n${gossipTable}`);
console.log(gossipTable);
const rows = await targetRows(slopes);
const targetTable = table(["quantity at the target", "value", "limit"], rows);
writeSection(PAGE, "target", `## The target\n\n${head}\n\n${targetTable}`);
console.log(`${slopeTable}\n\n${targetTable}`);

function slopeRow(one: Slope): string[] {
  const points = one.points
    .map(({ x, y }) => `${x}: ${short(y)}`)
    .join(", ");
  return [
    one.name,
    one.unit,
    one.over,
    points,
    short(at(one.line, 0)),
    short(one.line.slope),
  ];
}

function short(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
process.exit(0);
