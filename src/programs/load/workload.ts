/** Workloads: streams of requests with Poisson arrivals and periodic bursts. */
import { xoroshiro128plus } from "pure-rand";
import * as z from "zod";
import { randomInt } from "../../core/mod.ts";
import { duration } from "../../settings/units.ts";

const Range = z.tuple([z.int().min(1), z.int().min(1)]);

const Stream = z.strictObject({
  name: z.string(),
  service: z.string(),
  key: z.string(),
  plain: z.boolean().default(false),
  requests_per_second: z.number().positive(),
  prompt_tokens: Range.default([60, 200]),
  /** Number of distinct shared prompt prefixes; 0 for none. */
  shared_prefixes: z.int().min(0).default(0),
  /** Share of a prompt's length that its shared prefix takes up. */
  shared_share: z.number().min(0).max(1).default(0.8),
  output_tokens: Range.default([10, 60]),
  first_token: duration("560ms"),
  between_tokens: duration("35ms"),
  burst_every: duration("0ms"),
  burst_length: duration("0ms"),
  burst_factor: z.number().min(1).default(1),
});

/** Schema of a workload file. */
export const WorkloadSchema = z.strictObject({
  seed: z.int().default(1),
  duration: duration("20s"),
  streams: z.array(Stream).min(1),
});
/** A validated workload. */
export type Workload = z.output<typeof WorkloadSchema>;
/** One stream of a workload. */
export type WorkloadStream = Workload["streams"][number];

/** A request to send. */
export type Arrival = {
  /** Milliseconds since the start of the run. */
  readonly at: number;
  readonly stream: WorkloadStream;
  readonly prompt: string;
  readonly outputTokens: number;
};

/** Must match the router's estimate of characters per token. */
export const CHARACTERS_PER_TOKEN = 4;

/** Generates all arrivals of a workload, sorted by time. */
export function generateArrivals(workload: Workload): Arrival[] {
  const all = workload.streams.flatMap((stream, index) =>
    generateStreamArrivals(workload, stream, workload.seed * 100 + index)
  );
  return all.sort((a, b) => a.at - b.at);
}

function generateStreamArrivals(
  workload: Workload,
  stream: WorkloadStream,
  seed: number,
): Arrival[] {
  const random = xoroshiro128plus(seed);
  const uniform = (): number => (randomInt(random, 1_000_000) + 1) / 1_000_001;
  const intInRange = ([low, high]: readonly [number, number]): number =>
    low + randomInt(random, Math.max(1, high - low + 1));
  const generated: Arrival[] = [];
  let at = 0;
  for (;;) {
    const rate = stream.requests_per_second * burstFactor(stream, at);
    at += -Math.log(uniform()) / rate * 1000;
    if (at >= workload.duration) return generated;
    const tokens = intInRange(stream.prompt_tokens);
    const group = randomInt(random, Math.max(1, stream.shared_prefixes));
    const prompt = makePrompt(stream, group, tokens, generated.length);
    const outputTokens = intInRange(stream.output_tokens);
    generated.push({ at, stream, prompt, outputTokens });
  }
}

function burstFactor(stream: WorkloadStream, at: number): number {
  if (stream.burst_every === 0) return 1;
  const sinceBurstStart = at % stream.burst_every;
  return sinceBurstStart < stream.burst_length ? stream.burst_factor : 1;
}

function makePrompt(
  stream: WorkloadStream,
  group: number,
  tokens: number,
  index: number,
): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  const share = stream.shared_prefixes > 0 ? stream.shared_share : 0;
  const prefixLength = Math.floor(length * share);
  const prefix = repeatToLength(`${stream.name} log ${group}: `, prefixLength);
  return prefix +
    repeatToLength(`${stream.name} line ${index}. `, length - prefixLength);
}

function repeatToLength(text: string, length: number): string {
  return text.repeat(Math.ceil(length / text.length)).slice(0, length);
}
