/** Computes how much memory to reserve for a request at a decode replica. */
import type { RequestMetadata } from "../port.ts";
import type { Engine } from "../routing/model.ts";

/** Share of the output limit to reserve if the caller sends no estimate. */
const DEFAULT_OUTPUT_SHARE = 0.6;

/** Tokens to reserve for the prompt and the expected output. */
export function memoryTokens(
  facts: RequestMetadata,
  engine: Engine,
  outputMargin: number,
): number {
  const { promptTokens, outputLimit } = facts;
  const reserved = Math.min(outputLimit, expectedOutput(facts) * outputMargin);
  const tokens = Math.ceil(promptTokens + reserved);
  return Math.max(1, Math.min(tokens, engine.cacheTokens));
}

/** Tokens that the request is expected to generate. */
export function expectedOutput(
  { outputLimit, estimatedOutput }: RequestMetadata,
): number {
  return estimatedOutput ?? outputLimit * DEFAULT_OUTPUT_SHARE;
}
