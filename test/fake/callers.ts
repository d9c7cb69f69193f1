/** Fake callers and what each of them has got. */
import {
  BLOCK_TOKENS,
  type CallerRequest,
  type ErrorKind,
  type Ran,
} from "../../src/core/mod.ts";
import murmurhash from "murmurhash";
import { hashOf } from "./seed_rows.ts";

/** What a fake caller sends. */
export type Call = {
  readonly host: string;
  readonly customer?: string;
  readonly service?: string;
  readonly kind?: "completion" | "plain";
  readonly stream?: boolean;
  readonly once?: boolean;
  readonly callerKey?: string;
  /** Text that names the prompt; the answer names it too. */
  readonly text: string;
  /** Shared leading part of the prompt: its name and tokens. */
  readonly prefix?: string;
  readonly prefixTokens?: number;
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  readonly patienceMs?: number;
};

/** What a fake caller has got. */
export type Got = {
  readonly id: string;
  readonly call: Call;
  readonly at: number;
  text: string;
  tokens: number;
  firstAt?: number;
  endedAt?: number;
  whole: boolean;
  gone: boolean;
  /** Its entry host died or was cut off before the end. */
  broken: boolean;
  error?: ErrorKind;
  ran?: Ran;
  retryAfterSeconds?: number;
  status?: number;
};

/** What the fakes carry as a request's body. */
export type FakeBody = {
  readonly text: string;
  readonly promptTokens: number;
  readonly prefixes: readonly number[];
  readonly outputTokens: number;
};

/** Prompt size and answer size when a call gives none. */
const PROMPT_TOKENS = 600;
const OUTPUT_TOKENS = 40;

/** The core's event for a call. */
export function callerRequest(id: string, call: Call): CallerRequest {
  const promptTokens = call.promptTokens ?? PROMPT_TOKENS;
  const prefixes = blocksOf(call, promptTokens);
  const outputTokens = call.outputTokens ?? OUTPUT_TOKENS;
  const body: FakeBody = {
    text: call.text,
    promptTokens,
    prefixes,
    outputTokens,
  };
  return {
    type: "callerRequest",
    request: id,
    keyHash: hashOf(call.customer ?? "armor"),
    service: call.service ?? "recap-llm",
    kind: call.kind ?? "completion",
    path: "/v1/completions",
    body: JSON.stringify(body),
    stream: call.stream ?? true,
    promptTokens,
    prefixes,
    maxTokens: outputTokens,
    once: call.once ?? false,
    ...(call.callerKey === undefined ? {} : { callerKey: call.callerKey }),
    ...(call.patienceMs === undefined ? {} : { patienceMs: call.patienceMs }),
  };
}

function blocksOf(call: Call, promptTokens: number): number[] {
  const shared = Math.min(call.prefixTokens ?? 0, promptTokens);
  const blocks: number[] = [];
  for (let end = BLOCK_TOKENS; end <= promptTokens; end += BLOCK_TOKENS) {
    const name = end <= shared ? call.prefix : call.text;
    blocks.push(murmurhash.v3(`${name}#${end}`));
  }
  return blocks;
}
