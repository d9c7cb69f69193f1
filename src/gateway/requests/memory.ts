/** How much memory a request is given at a decode replica. */
import type { RequestFacts } from "../port.ts";
import type { Engine } from "../routing/model.ts";

/** Share of the output limit where the caller gives no guess. */
const LIMIT_SHARE = 0.6;

/** Tokens to reserve: the prompt and the output as far as it is foreseen. */
export function reservedTokens(
  facts: RequestFacts,
  engine: Engine,
  outputMargin: number,
): number {
  const { promptTokens, outputLimit, outputHint } = facts;
  const guess = outputHint ?? outputLimit * LIMIT_SHARE;
  const reserved = Math.min(outputLimit, guess * outputMargin);
  const tokens = Math.ceil(promptTokens + reserved);
  return Math.max(1, Math.min(tokens, engine.cacheTokens));
}
