/** Streams of server-sent events, cut into parts at places that a seed draws. */
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";

const SEED = 20_261_203;
const MIN_TEXT_BYTES = 20;
const MAX_TEXT_BYTES = 400;

/** How a stream is cut into parts. */
export type Cutting = {
  readonly name: string;
  /** Parts of this many bytes; absent: one event a part. */
  readonly partBytes?: { readonly min: number; readonly max: number };
};

/** The ways in which streams are cut. */
export const CUTTINGS: readonly Cutting[] = [
  { name: "an event" },
  { name: "1 to 1500 bytes", partBytes: { min: 1, max: 1500 } },
  { name: "1 to 64 bytes", partBytes: { min: 1, max: 64 } },
];

/** A stream, cut into parts. */
export type Stream = {
  readonly events: number;
  readonly bytes: number;
  readonly parts: readonly Buffer[];
};

/** Returns the same stream, cut in the same places, at each call. */
export function createStream(
  events: number,
  { partBytes }: Cutting,
): Stream {
  const random = xoroshiro128plus(SEED);
  const texts = Array.from(
    { length: events },
    (_, index) => Buffer.from(eventText(index + 1, random)),
  );
  const all = Buffer.concat(texts);
  if (!partBytes) return { events, bytes: all.length, parts: texts };
  const parts: Buffer[] = [];
  for (let from = 0; from < all.length;) {
    const to = from + draw(random, partBytes.min, partBytes.max);
    parts.push(all.subarray(from, to));
    from = to;
  }
  return { events, bytes: all.length, parts };
}

function eventText(id: number, random: RandomGenerator): string {
  const text = "x".repeat(draw(random, MIN_TEXT_BYTES, MAX_TEXT_BYTES));
  const choices = [{ index: 0, text, finish_reason: null }];
  const data = { id: "cmpl-1", object: "text_completion", choices };
  return `id: ${id}\ndata: ${JSON.stringify(data)}\n\n`;
}

function draw(random: RandomGenerator, min: number, max: number): number {
  return min + (random.unsafeNext() >>> 0) % (max - min + 1);
}
