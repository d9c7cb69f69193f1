/** Estimates a prompt's tokens and hashes its leading blocks. */
import murmurhash from "murmurhash";
import * as z from "zod";
import { BLOCK_TOKENS } from "../../core/mod.ts";

/** Estimate of the characters per token. */
export const CHARACTERS_PER_TOKEN = 4;

/** Size and block hashes of a prompt. */
export type PromptMeasure = {
  readonly promptTokens: number;
  /** A hash for each full block, which covers all text up to its end. */
  readonly prefixes: readonly number[];
};

export function measurePrompt(text: string): PromptMeasure {
  const blockLength = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
  const prefixes: number[] = [];
  let seed = 0;
  for (let end = blockLength; end <= text.length; end += blockLength) {
    seed = murmurhash.v3(text.slice(end - blockLength, end), seed);
    prefixes.push(seed);
  }
  const promptTokens = Math.ceil(text.length / CHARACTERS_PER_TOKEN);
  return { promptTokens: Math.max(1, promptTokens), prefixes };
}

const Part = z.looseObject({ type: z.string(), text: z.string().optional() });
/** A message of a chat. */
export const ChatMessage = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(Part)]).nullish(),
});
/** A message of a chat. */
export type ChatMessage = z.infer<typeof ChatMessage>;

/** Returns the prompt of a completion, or a chat's messages as one text. */
export function promptText(
  body: {
    readonly prompt?: string | undefined;
    readonly messages?: readonly ChatMessage[] | undefined;
  },
): string {
  if (body.prompt !== undefined) return body.prompt;
  return (body.messages ?? []).map(messageText).join("\n");
}

function messageText({ role, content }: ChatMessage): string {
  if (typeof content === "string") return `${role}: ${content}`;
  const parts = content ?? [];
  return `${role}: ${parts.map((part) => part.text ?? "").join("")}`;
}
