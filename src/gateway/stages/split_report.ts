/** Shows operators by which figures a service's stages are balanced. */
import type { SplitDecision } from "./measured_balance.ts";

/** Fields of the event of a change that is wanted. */
export function splitFields(
  decision: SplitDecision,
): Readonly<Record<string, number>> {
  const { demand, served, wantedServed } = decision;
  return {
    prompt_tokens_per_second: Math.round(demand.promptTokensPerSecond),
    memory_tokens: Math.round(demand.memoryTokens),
    prefills: decision.prefills,
    wanted_prefills: decision.wantedPrefills,
    decodes: decision.decodes,
    served: round(served),
    wanted_served: round(wantedServed),
  };
}

/** Gauges over the services that this host plans. */
export function splitGauges(
  decisions: readonly SplitDecision[],
): Readonly<Record<string, number>> {
  const sum = (valueOf: (decision: SplitDecision) => number) =>
    decisions.reduce((total, decision) => total + valueOf(decision), 0);
  return {
    stage_prompt_tokens_per_second: Math.round(
      sum(({ demand }) => demand.promptTokensPerSecond),
    ),
    stage_memory_tokens: Math.round(sum(({ demand }) => demand.memoryTokens)),
    stage_prefills: sum(({ prefills }) => prefills),
    stage_prefills_wanted: sum(({ wantedPrefills }) => wantedPrefills),
  };
}

/** Rounds to hundredths; an unlimited capacity is shown as -1. */
function round(served: number): number {
  return Number.isFinite(served) ? Math.round(served * 100) / 100 : -1;
}
