/** Measures a prompt: its tokens, and hashes of its leading blocks. */
import murmurhash from "murmurhash";
import * as z from "zod";
import { BLOCK_TOKENS } from "../../core/mod.ts";

/** Characters taken for one token; engines report the true number later. */
export const CHARACTERS_PER_TOKEN = 4;

/** A prompt as the core needs it. */
export type Measure = {
  readonly promptTokens: number;
  /** One hash a whole block; each covers all text before its end. */
  readonly prefixes: readonly number[];
};

/** Measures a prompt's text. */
export function measurePrompt(text: string): Measure {
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
/** One message of a chat. */
export const ChatMessage = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(Part)]).nullish(),
});
/** One message of a chat. */
export type ChatMessage = z.infer<typeof ChatMessage>;

/** The text that a completion's or a chat's prompt comes to. */
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
