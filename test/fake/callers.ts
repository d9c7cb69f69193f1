/** Requests of fake callers and the records of their responses. */
import {
  BLOCK_TOKENS,
  type CallerRequest,
  type ErrorKind,
  type Ran,
} from "../../src/core/mod.ts";
import murmurhash from "murmurhash";
import { hashOf } from "./seed_rows.ts";

/** A request of a fake caller. */
export type Call = {
  readonly host: string;
  readonly customer?: string;
  readonly service?: string;
  readonly kind?: "completion" | "plain";
  readonly stream?: boolean;
  readonly once?: boolean;
  readonly callerKey?: string;
  /** Identifies the prompt; the response repeats it. */
  readonly text: string;
  /** The shared prefix of the prompt: its name and its length in tokens. */
  readonly prefix?: string;
  readonly prefixTokens?: number;
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  readonly patienceMs?: number;
};

/** What a fake caller has received for a request. */
export type CallRecord = {
  readonly id: string;
  readonly call: Call;
  readonly sentAt: number;
  text: string;
  tokens: number;
  firstTokenAt?: number;
  endedAt?: number;
  isComplete: boolean;
  isCancelled: boolean;
  /** The entry host crashed before the response ended. */
  isInterrupted: boolean;
  error?: ErrorKind;
  ran?: Ran;
  retryAfterSeconds?: number;
  status?: number;
};

/** The body of a request in the fake fleet, encoded as JSON. */
export type FakeBody = {
  readonly text: string;
  readonly promptTokens: number;
  readonly prefixes: readonly number[];
  readonly outputTokens: number;
};

/** Default sizes of prompt and response. */
const PROMPT_TOKENS = 600;
const OUTPUT_TOKENS = 40;

/** Returns the core's event for a call. */
export function callerRequest(id: string, call: Call): CallerRequest {
  const promptTokens = call.promptTokens ?? PROMPT_TOKENS;
  const prefixes = prefixBlocks(call, promptTokens);
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

function prefixBlocks(call: Call, promptTokens: number): number[] {
  const shared = Math.min(call.prefixTokens ?? 0, promptTokens);
  const blocks: number[] = [];
  for (let end = BLOCK_TOKENS; end <= promptTokens; end += BLOCK_TOKENS) {
    const name = end <= shared ? call.prefix : call.text;
    blocks.push(murmurhash.v3(`${name}#${end}`));
  }
  return blocks;
}
