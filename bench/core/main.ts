/**
 * npm run bench:core: measures the slopes of the core and extrapolates them to
 * the target size.
 */
import { execFileSync } from "node:child_process";
import { writeSection } from "../report.ts";
import { table } from "../policy/tables.ts";
import { measureGossip } from "./gossip.ts";
import { valueAt } from "./measure.ts";
import { measureSlopes, type Slope } from "./slopes.ts";
import { targetRows } from "./target.ts";

/** Hosts of a region, and peers that each host sends gossip to in a round. */
const GOSSIP_CASES = [[9, 1], [9, 3], [47, 1], [110, 1], [110, 2], [
  110,
  3,
]] as const;
const PAGE = "docs/CAPACITY.md";
const slopes = measureSlopes();
const commit = execFileSync("git", ["describe", "--always", "--dirty"], {
  encoding: "utf8",
}).trim();
const intro = `Written by \`npm run bench:core\` at commit ${commit}, ` +
  `Node.js ${process.version}.`;

const slopeTable = table(
  ["what", "unit", "over", "measured", "base", "slope"],
  slopes.map(slopeRow),
);
writeSection(PAGE, "slopes", `## Slopes\n\n${intro}\n\n${slopeTable}`);
const gossips = GOSSIP_CASES.map(([hosts, fanout]) =>
  measureGossip(hosts, fanout)
);
const gossipTable = table(
  ["hosts", "peers a round", "oldest heartbeat", "sent by a host"],
  gossips.map((gossip) => [
    String(gossip.hosts),
    String(gossip.fanout),
    `${(gossip.oldestMs / 1000).toFixed(1)} s`,
    `${gossip.messagesPerSecond.toFixed(1)} messages, ` +
    `${(gossip.bytesPerSecond / 1000).toFixed(1)} KB a second`,
  ]),
);
writeSection(PAGE, "gossip", `## Gossip\n\n${intro}\n\n${gossipTable}`);
console.log(gossipTable);
const rows = await targetRows(slopes);
const targetTable = table(["quantity at the target", "value", "limit"], rows);
writeSection(PAGE, "target", `## The target\n\n${intro}\n\n${targetTable}`);
console.log(`${slopeTable}\n\n${targetTable}`);

function slopeRow(slope: Slope): string[] {
  const points = slope.points
    .map(({ x, y }) => `${x}: ${formatNumber(y)}`)
    .join(", ");
  return [
    slope.name,
    slope.unit,
    slope.over,
    points,
    formatNumber(valueAt(slope.line, 0)),
    formatNumber(slope.line.slope),
  ];
}

function formatNumber(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
process.exit(0);
