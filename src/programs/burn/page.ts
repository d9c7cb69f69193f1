/** The burn report as an HTML page with bar charts. */
import type { BurnRow } from "./merge.ts";
import { formatGoodShare, formatWindow } from "./text.ts";

const BAR_WIDTH = 260;
const BAR_HEIGHT = 14;
/** Burn rate at which a bar is full. */
const MAX_BAR_BURN = 4;
const BAR_COLOURS = {
  withinBudget: "#2e7d5b",
  elevated: "#c77800",
  critical: "#b3261e",
};

const STYLE = `
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto;
  max-width: 62rem; color: #1c1c1c; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; white-space: nowrap; padding: .3rem .7rem .3rem 0;
  border-bottom: 1px solid #ddd; font-variant-numeric: tabular-nums; }
th { font-weight: 600; }
.number { text-align: right; }
p { max-width: 44rem; }`;

/** Renders the page. */
export function renderBurnPage(
  rows: readonly BurnRow[],
  objective: number,
  now: Date,
): string {
  const share = (objective * 100).toFixed(1);
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>otterhill: burn</title>
<style>${STYLE}</style></head>
<body>
<h1>Service-level burn</h1>
<p>${now.toISOString()}. Objective: ${share}% of requests meet both latency
targets of their customer. A burn of 1 uses the budget up exactly at the end
of its period; the bars end at ${MAX_BAR_BURN}.</p>
<table>
<tr><th>customer</th><th>service</th><th>window</th>
<th class="number">requests</th><th class="number">good</th><th>burn</th>
<th>first token p50 / p95 / p99<br>since the hosts' start</th></tr>
${rows.map(renderRow).join("\n")}
</table>
</body>
</html>
`;
}

function renderRow(row: BurnRow): string {
  const firstToken = row.firstToken.map((ms) => ms.toFixed(0)).join(" / ");
  return `<tr><td>${escapeHtml(row.customer)}</td>
<td>${escapeHtml(row.service)}</td><td>${formatWindow(row.windowMs)}</td>
<td class="number">${row.requests}</td>
<td class="number">${formatGoodShare(row)}</td>
<td>${renderBar(row.burn)}</td><td>${firstToken} ms</td></tr>`;
}

function renderBar(burn: number): string {
  const width = Math.min(1, burn / MAX_BAR_BURN) * BAR_WIDTH;
  const budgetX = BAR_WIDTH / MAX_BAR_BURN;
  const label = burn.toFixed(2);
  return `<svg width="${BAR_WIDTH + 50}" height="${BAR_HEIGHT + 4}"
 role="img" aria-label="burn ${label}">
<rect x="0" y="2" width="${BAR_WIDTH}" height="${BAR_HEIGHT}" fill="#eee"/>
<rect x="0" y="2" width="${width.toFixed(1)}" height="${BAR_HEIGHT}"
 fill="${barColour(burn)}"/>
<line x1="${budgetX}" x2="${budgetX}" y1="0" y2="${BAR_HEIGHT + 4}"
 stroke="#1c1c1c"/>
<text x="${BAR_WIDTH + 6}" y="${BAR_HEIGHT}" font-size="12">${label}</text>
</svg>`;
}

function barColour(burn: number): string {
  if (burn <= 1) return BAR_COLOURS.withinBudget;
  return burn <= 2 ? BAR_COLOURS.elevated : BAR_COLOURS.critical;
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
