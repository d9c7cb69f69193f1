/** Random responses of replicas, whole and damaged. */
import fc from "fast-check";

/** What is wrong with a response. */
export const Damage = {
  none: "none",
  /** It ends before its end. */
  cut: "cut",
  /** A chunk without a size, or a length that isn't a number. */
  badFraming: "badFraming",
  /** Two lengths that differ. */
  twoLengths: "twoLengths",
  /** Its id is that of another request. */
  otherId: "otherId",
  /** Its head never ends. */
  endlessHead: "endlessHead",
  /** Its first chunk has an extension that never ends. */
  endlessExtension: "endlessExtension",
  /** Another response, which nobody asked for, comes behind it. */
  followed: "followed",
  /** Bytes that are no response come before it. */
  preceded: "preceded",
} as const;
/** One of the values of {@link Damage}. */
export type Damage = typeof Damage[keyof typeof Damage];

/** One response and how it is written. */
export type ResponsePlan = {
  readonly damage: Damage;
  readonly framing: "length" | "chunked";
  readonly bodyBytes: number;
  readonly interimCount: number;
  readonly partSizes: readonly number[];
  /** What happens on the connection behind the response. */
  readonly ending: "kept" | "ended" | "reset";
  /** Changes of single bytes: the position as a share, and the new byte. */
  readonly mutations: readonly (readonly [number, number])[];
};

const ENDLESS_BYTES = 1 << 20;

const plansOf = (
  damage: fc.Arbitrary<Damage>,
  mutations: fc.Arbitrary<ResponsePlan["mutations"]>,
): fc.Arbitrary<ResponsePlan> =>
  fc.record({
    damage,
    framing: fc.constantFrom("length", "chunked"),
    bodyBytes: fc.oneof(fc.nat(64), fc.nat(300_000)),
    interimCount: fc.oneof(fc.constant(0), fc.nat(3)),
    partSizes: fc.array(
      fc.oneof(
        fc.integer({ min: 1, max: 40 }),
        fc.integer({ min: 1, max: 1e6 }),
      ),
      { minLength: 1, maxLength: 20 },
    ),
    ending: fc.constantFrom("kept", "kept", "ended", "reset"),
    mutations,
  });

/** Responses to callers that are in progress at the same time. */
export const responseSets: fc.Arbitrary<ResponsePlan[]> = fc.oneof(
  fc.array(
    plansOf(fc.constant(Damage.none), fc.constant([])),
    { minLength: 1, maxLength: 6 },
  ),
  fc.array(
    plansOf(
      fc.constantFrom(...Object.values(Damage)),
      fc.oneof(
        { weight: 3, arbitrary: fc.constant([]) },
        {
          weight: 1,
          arbitrary: fc.array(
            fc.tuple(fc.double({ min: 0, max: 1, noNaN: true }), fc.nat(255)),
            { minLength: 1, maxLength: 4 },
          ),
        },
      ),
    ),
    { minLength: 1, maxLength: 6 },
  ),
);

/** The body of the response to a request. */
export function responseBody({ bodyBytes }: ResponsePlan, id: string): string {
  const line = `data: ${id}\n\n`;
  return line.repeat(Math.ceil(bodyBytes / line.length)).slice(0, bodyBytes);
}

/** The bytes of a response. */
export function responseBytes(plan: ResponsePlan, id: string): Buffer {
  const { damage, interimCount, mutations } = plan;
  const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  const text = interim.repeat(interimCount) + finalText(plan, id);
  const whole = Buffer.from(text, "latin1");
  for (const [share, byte] of mutations) {
    whole[Math.floor(share * (whole.length - 1))] = byte;
  }
  return damage === Damage.cut ? whole.subarray(0, -1) : whole;
}

function finalText(plan: ResponsePlan, id: string): string {
  const { damage, framing } = plan;
  const body = responseBody(plan, id);
  const shownId = damage === Damage.otherId ? "other" : id;
  const start = `HTTP/1.1 200 OK\r\nx-id: ${shownId}\r\n`;
  switch (damage) {
    case Damage.endlessHead:
      return `${start}x-filler: ${"f".repeat(ENDLESS_BYTES)}`;
    case Damage.endlessExtension:
      return `${start}transfer-encoding: chunked\r\n\r\n5;` +
        "e".repeat(ENDLESS_BYTES);
    case Damage.twoLengths:
      return `${start}content-length: 3\r\ncontent-length: 4\r\n\r\nbody`;
    case Damage.badFraming:
      return framing === "length"
        ? `${start}content-length: four\r\n\r\nbody`
        : `${start}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\nzz\r\n`;
    case Damage.followed:
      return start + framed(plan, body) +
        "HTTP/1.1 200 OK\r\nx-id: extra\r\ncontent-length: 5\r\n\r\nextra";
    case Damage.preceded:
      return `garbage\r\n${start}${framed(plan, body)}`;
    default:
      return start + framed(plan, body);
  }
}

function framed({ framing }: ResponsePlan, body: string): string {
  if (framing === "length") {
    return `content-length: ${body.length}\r\n\r\n${body}`;
  }
  const chunk = body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`;
  return `transfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
}
