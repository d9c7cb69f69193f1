/** What the demos print about their engines. */
import type { Engine } from "../../standins/engine/mod.ts";

/** One line for each engine, and the share of prefilled tokens that was wasted. */
export function formatEngines(engines: readonly Engine[]): string {
  return [...engines.map(formatEngine), formatWaste(engines)].join("\n");
}

function formatEngine({ id, record }: Engine): string {
  const { started, prefilledTokens, hitTokens } = record;
  return `  ${id.padEnd(18)} ${String(started.size).padStart(4)} ` +
    `attempts  ${prefilledTokens} tokens prefilled, ${hitTokens} from cache`;
}

function formatWaste(engines: readonly Engine[]): string {
  let prefilled = 0;
  let wasted = 0;
  for (const { record } of engines) {
    prefilled += record.prefilledTokens;
    wasted += record.wastedTokens;
  }
  const share = prefilled === 0 ? 0 : wasted / prefilled * 100;
  return `wasted prefill ${share.toFixed(1)}% of ${prefilled} tokens`;
}
