/** A workload: streams of requests that arrive at random, with bursts. */
import { xoroshiro128plus } from "pure-rand";
import * as z from "zod";
import { draw } from "../../core/mod.ts";
import { duration } from "../../settings/units.ts";

const Range = z.tuple([z.int().min(1), z.int().min(1)]);

const Stream = z.strictObject({
  name: z.string(),
  service: z.string(),
  key: z.string(),
  plain: z.boolean().default(false),
  requests_per_second: z.number().positive(),
  prompt_tokens: Range.default([60, 200]),
  /** Different leading parts, and how much of a prompt they are. */
  shared_prefixes: z.int().min(0).default(0),
  shared_share: z.number().min(0).max(1).default(0.8),
  output_tokens: Range.default([10, 60]),
  first_token: duration("560ms"),
  between_tokens: duration("35ms"),
  burst_every: duration("0ms"),
  burst_length: duration("0ms"),
  burst_factor: z.number().min(1).default(1),
});

/** The schema of a workload file. */
export const WorkloadSchema = z.strictObject({
  seed: z.int().default(1),
  duration: duration("20s"),
  streams: z.array(Stream).min(1),
});
/** A checked workload. */
export type Workload = z.output<typeof WorkloadSchema>;
/** One stream of a workload. */
export type WorkloadStream = Workload["streams"][number];

/** One request to be sent. */
export type Arrival = {
  /** Milliseconds from the start. */
  readonly at: number;
  readonly stream: WorkloadStream;
  readonly prompt: string;
  readonly outputTokens: number;
};

/** Characters for one token, as the router counts. */
const CHARACTERS_PER_TOKEN = 4;

/** All arrivals of a workload, in order of time. */
export function generateArrivals(workload: Workload): Arrival[] {
  const all = workload.streams.flatMap((stream, place) =>
    generateStreamArrivals(workload, stream, workload.seed * 100 + place)
  );
  return all.sort((a, b) => a.at - b.at);
}

function generateStreamArrivals(
  workload: Workload,
  stream: WorkloadStream,
  seed: number,
): Arrival[] {
  const random = xoroshiro128plus(seed);
  const unit = (): number => (draw(random, 1_000_000) + 1) / 1_000_001;
  const between = ([low, high]: readonly [number, number]): number =>
    low + draw(random, Math.max(1, high - low + 1));
  const made: Arrival[] = [];
  let at = 0;
  for (;;) {
    const rate = stream.requests_per_second * burstFactor(stream, at);
    at += -Math.log(unit()) / rate * 1000;
    if (at >= workload.duration) return made;
    const tokens = between(stream.prompt_tokens);
    const group = draw(random, Math.max(1, stream.shared_prefixes));
    const prompt = makePrompt(stream, group, tokens, made.length);
    const outputTokens = between(stream.output_tokens);
    made.push({ at, stream, prompt, outputTokens });
  }
}

function burstFactor(stream: WorkloadStream, at: number): number {
  if (stream.burst_every === 0) return 1;
  const into = at % stream.burst_every;
  return into < stream.burst_length ? stream.burst_factor : 1;
}

function makePrompt(
  stream: WorkloadStream,
  group: number,
  tokens: number,
  number: number,
): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  const share = stream.shared_prefixes > 0 ? stream.shared_share : 0;
  const shared = Math.floor(length * share);
  const head = repeatToLength(`${stream.name} log ${group}: `, shared);
  return head +
    repeatToLength(`${stream.name} line ${number}. `, length - shared);
}

function repeatToLength(text: string, length: number): string {
  return text.repeat(Math.ceil(length / text.length)).slice(0, length);
}
