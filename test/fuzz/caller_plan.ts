/** Random connections of callers: what is sent, in which parts, and read how. */
import fc from "fast-check";

/** How the replica answers a request; the request names it. */
export const ReplicaBehavior = {
  whole: "whole",
  chunked: "chunked",
  late: "late",
  large: "large",
  unframed: "unframed",
  cutOff: "cutOff",
} as const;
/** One of the values of {@link ReplicaBehavior}. */
export type ReplicaBehavior =
  typeof ReplicaBehavior[keyof typeof ReplicaBehavior];

/** A request that a host has to accept. */
export type ValidRequest = {
  readonly type: "valid";
  readonly behavior: ReplicaBehavior;
  readonly framing: "none" | "length" | "chunked";
  readonly bodyBytes: number;
  readonly fillerBytes: number;
  readonly isExpecting: boolean;
};

/** One that it must not send to a replica. */
export type MalformedRequest = {
  readonly type: "malformed";
  readonly text: string;
  /** Whether requests behind it may run. */
  readonly isFramed: boolean;
};

/** What happens on a connection after the last byte was written. */
export type Ending = "kept" | "halfClosed" | "closed";

/** One connection. */
export type ConnectionPlan = {
  readonly requests: readonly (ValidRequest | MalformedRequest)[];
  /** Sizes of the parts that are written, repeated until the end. */
  readonly partSizes: readonly number[];
  /** Event loop turns before the caller begins to read. */
  readonly unreadTurns: number;
  /** The part of the bytes that is written; 1: all. */
  readonly writtenShare: number;
  readonly ending: Ending;
  /** Changes of single bytes: the position as a share, and the new byte. */
  readonly mutations: readonly (readonly [number, number])[];
};

const GET = "GET /a/b HTTP/1.1\r\nx-id: malformed\r\n";
const POST = "POST /a/b HTTP/1.1\r\nx-id: malformed\r\nHost: example\r\n";
const HIDDEN = "GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: hidden\r\n\r\n";

/** Requests that end their connections (RFC 9112). */
export const MALFORMED_REQUESTS: readonly MalformedRequest[] = [
  "NONSENSE\r\n\r\n",
  "GET /a/b\r\n\r\n",
  "GET /a/b HTTP/9.9\r\nHost: example\r\n\r\n",
  `${GET}Host : example\r\n\r\n`,
  `${GET}Host: example\r\nno colon\r\n\r\n`,
  `${GET}Host: example\r\nx-nul: a\0b\r\n\r\n`,
  `${GET}Host: example\r\nx-filler: ${"f".repeat(70_000)}\r\n\r\n`,
  `${POST}Content-Length: -1\r\n\r\n${HIDDEN}`,
  `${POST}Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody${HIDDEN}`,
  `${POST}Content-Length: 0x4\r\n\r\nbody`,
  `${POST}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${HIDDEN}`,
  `${POST}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n${HIDDEN}`,
  `${POST}Transfer-Encoding: chunked\r\n\r\nzz\r\n${HIDDEN}`,
  `${POST}Transfer-Encoding: chunked\r\n\r\n-4\r\nbody\r\n0\r\n\r\n`,
  `${POST}Transfer-Encoding: chunked\r\n\r\n4\r\nbodyy\r\n0\r\n\r\n${HIDDEN}`,
  `${POST}Transfer-Encoding: chunked\r\n\r\n4;${"e".repeat(40_000)}\r\nbody`,
].map((text) => ({ type: "malformed", text, isFramed: false }));

/** Larger than what the sockets between two callers buffer at once. */
export const MAX_BODY_BYTES = 100_000;

const validRequest: fc.Arbitrary<ValidRequest> = fc.record({
  type: fc.constant("valid"),
  behavior: fc.oneof(
    { weight: 6, arbitrary: fc.constant(ReplicaBehavior.whole) },
    {
      weight: 6,
      arbitrary: fc.constantFrom(...Object.values(ReplicaBehavior)),
    },
  ),
  framing: fc.constantFrom("none", "length", "chunked"),
  bodyBytes: fc.oneof(
    fc.nat(64),
    fc.nat({ max: MAX_BODY_BYTES }),
  ),
  fillerBytes: fc.oneof(fc.constant(0), fc.nat(2000)),
  isExpecting: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
});

/** A request that lacks its Host header, and nothing else. */
export const HOSTLESS: MalformedRequest = {
  type: "malformed",
  text: `${GET}\r\n`,
  isFramed: true,
};

const malformedRequest: fc.Arbitrary<MalformedRequest> = fc.constantFrom(
  HOSTLESS,
  ...MALFORMED_REQUESTS,
);

const unchanged = fc.constant([]);
const mutations = fc.array(
  fc.tuple(fc.double({ min: 0, max: 1, noNaN: true }), fc.nat(255)),
  { minLength: 1, maxLength: 4 },
);

/** Connections, most of them well-formed. */
export const connectionPlans: fc.Arbitrary<ConnectionPlan> = fc.record({
  requests: fc.array(
    fc.oneof(
      { weight: 8, arbitrary: validRequest },
      { weight: 1, arbitrary: malformedRequest },
    ),
    { minLength: 1, maxLength: 24 },
  ),
  partSizes: fc.array(
    fc.oneof(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 1e6 })),
    { minLength: 1, maxLength: 20 },
  ),
  unreadTurns: fc.oneof(fc.constant(0), fc.nat(200)),
  writtenShare: fc.oneof(
    { weight: 3, arbitrary: fc.constant(1) },
    { weight: 1, arbitrary: fc.double({ min: 0, max: 1, noNaN: true }) },
  ),
  ending: fc.oneof(
    { weight: 3, arbitrary: fc.constant<Ending>("kept") },
    { weight: 1, arbitrary: fc.constantFrom<Ending>("halfClosed", "closed") },
  ),
  mutations: fc.oneof(
    { weight: 3, arbitrary: unchanged },
    { weight: 1, arbitrary: mutations },
  ),
});
