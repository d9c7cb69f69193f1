/** Streams of server-sent events, and all kinds of parts that they arrive in. */
import fc from "fast-check";

const MARK = Buffer.from([0xef, 0xbb, 0xbf]);
const LINE_ENDS = ["\n", "\r", "\r\n"].map((text) => Buffer.from(text));
const TEXTS = [
  "data: x",
  "data: a longer text of an event",
  "data:",
  "data",
  "event: delta",
  "retry: 10",
  ": comment",
  ":",
  "id: 7",
  "id:8",
  "id: \u00a0 9\t",
  "id:",
  "id",
  "i",
  " id: 1",
  "xid: 2",
  "data: id: 3",
  "id: a\u00e9\u{1f600}",
  "d",
].map((text) => Buffer.from(text));

const lineEnd = fc.constantFrom(...LINE_ENDS);
const piece = fc.oneof(
  { weight: 6, arbitrary: fc.constantFrom(...TEXTS) },
  { weight: 6, arbitrary: lineEnd },
  { weight: 3, arbitrary: lineEnd.map((end) => Buffer.concat([end, end])) },
  { weight: 1, arbitrary: fc.constantFrom(MARK, MARK.subarray(0, 2)) },
  {
    weight: 1,
    arbitrary: fc.uint8Array({ maxLength: 3 }).map((bytes) =>
      Buffer.from(bytes)
    ),
  },
);

/** Lines, line ends, byte order marks and other bytes in any order. */
export const streams: fc.Arbitrary<Buffer> = fc.tuple(
  fc.constantFrom(MARK, Buffer.alloc(0)),
  fc.array(piece, { maxLength: 40 }),
).map(([start, pieces]) => Buffer.concat([start, ...pieces]));

/** A stream in parts of any size, empty ones included. */
export const streamsInParts: fc.Arbitrary<Buffer[]> = streams.chain((stream) =>
  fc.array(fc.nat(stream.length), { maxLength: 20 })
    .map((cuts) => cutAt(stream, cuts))
);

/** Cuts a stream at the given places. */
export function cutAt(stream: Buffer, cuts: readonly number[]): Buffer[] {
  const sorted = [0, ...cuts, stream.length].sort((a, b) => a - b);
  return sorted.slice(1).map((to, index) => stream.subarray(sorted[index], to));
}

/** Cuts a stream at every byte. */
export function cutEverywhere(stream: Buffer): Buffer[] {
  return cutAt(stream, [...stream.keys()]);
}
