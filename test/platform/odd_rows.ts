/**
 * Rows of replicas that no replica writes: each is a sound row but for one
 * field. Values are JSON text, since some have no counterpart in JavaScript.
 */

/** The fields of a row, as JSON text. */
export type RowFields = Readonly<Record<string, string>>;

/** A row, and what is odd about it. */
export type OddRow = { readonly name: string; readonly value: Uint8Array };

const DEEP_LEVELS = 200_000;
/** Fits the length of a sound row. */
const FITTING_LEVELS = 10_000;
const LONG_CHARS = 300_000;
/** Longer than a name in messages between hosts may be. */
const OVERLONG_CHARS = 1001;

/** JSON text of arrays in each other. */
export function deepText(levels: number = DEEP_LEVELS): string {
  return "[".repeat(levels) + "]".repeat(levels);
}

/** The row with these fields. */
export function rowText(fields: RowFields): string {
  const members = Object.entries(fields).map(([name, value]) =>
    `${JSON.stringify(name)}:${value}`
  );
  return `{${members.join(",")}}`;
}

/** Addresses that name no replica. */
export const ODD_ADDRESSES: readonly string[] = [
  "127.0.0.1: 80",
  "127.0.0.1:80 ",
  " 127.0.0.1:80",
  "127.0.0.1:80\n",
  "127.0.0.1:80\r\nX: y",
  "127.0.0.1:\t80",
  "127.0.0.1:\u00a080",
  "127.0.0.1:80\u2003",
  "127.0.0.1:\uff18\uff10",
  "127.0.0.1:",
  "127.0.0.1:0",
  "127.0.0.1:-1",
  "127.0.0.1:+80",
  "127.0.0.1:80.5",
  "127.0.0.1:0x1F",
  "127.0.0.1:1e3",
  "127.0.0.1:080",
  "127.0.0.1:65536",
  "127.0.0.1:99999",
  "127.0.0.1:1000000000",
  "127.0.0.1",
  "127.0.0.256:80",
  "localhost:80",
  "[127.0.0.1]:80",
  "[127.0.0.1:80",
  "[::1:80",
  "::1:80",
  `[fe80::1%${"z".repeat(LONG_CHARS)}]:80`,
  "127.0.0.1:80\ud800",
  ":80",
  "",
];

/** Fields of rows that are no sound values, as JSON text. */
export const ODD_FIELDS: readonly (readonly [string, string])[] = [
  ...ODD_ADDRESSES.map((text) => ["Address", JSON.stringify(text)] as const),
  ...["1e400", "-1", "1e300", "null", '"0"'].map((value) =>
    ["ColdRemainingMs", value] as const
  ),
  ...["1e400", "1e300", "9007199254740992", "-1", "0", "0.5", "null"].map(
    (value) => ["Slots", value] as const,
  ),
  ...["1e400", "-1e400", "1e300", "1.5", '"1"'].map((value) =>
    ["born", value] as const
  ),
  ...["Service", "Zone"].flatMap((field) => [
    [field, JSON.stringify("s".repeat(OVERLONG_CHARS))] as const,
    [field, JSON.stringify("s".repeat(LONG_CHARS))] as const,
    [field, '""'] as const,
  ]),
  ["Stage", '"training"'],
  ["Stage", "null"],
  ["State", '"resting"'],
  ["Version", deepText(FITTING_LEVELS)],
  ["Version", "7"],
  ["Models", "1e400"],
  ["Sequence", "1e400"],
  ["Sequence", deepText(FITTING_LEVELS)],
  ...["Service", "Address", "Zone", "Slots", "State", "ColdRemainingMs"]
    .concat("Stage", "born").flatMap((field) => [
      [field, deepText()] as const,
      [field, deepText(FITTING_LEVELS)] as const,
      [field, "{}"] as const,
    ]),
];

/** Fields in which any value is allowed, with odd ones, as JSON text. */
export const IGNORED_ODD_FIELDS: readonly (readonly [string, string])[] = [
  ["Models", deepText(FITTING_LEVELS)],
  ["__proto__", '{"Address":1}'],
  ["constructor", "7"],
];

/** Values of rows that are no objects, or not JSON. */
export const ODD_VALUES: readonly Uint8Array[] = [
  Buffer.from(deepText()),
  Buffer.from(deepText(FITTING_LEVELS)),
  Buffer.from("[".repeat(DEEP_LEVELS)),
  Buffer.from('{"a":'.repeat(DEEP_LEVELS) + "1" + "}".repeat(DEEP_LEVELS)),
  Buffer.from("1e400"),
  Buffer.from("null"),
  Buffer.from([0xff, 0xfe, 0x7b, 0x7d]),
  Buffer.alloc(0),
];

/** All rows that are faults, made from a sound one. */
export function oddRows(sound: RowFields): OddRow[] {
  return [
    ...ODD_FIELDS.map(([field, value], at) => ({
      name: `${field}-${at}`,
      value: Buffer.from(rowText({ ...sound, [field]: value })),
    })),
    ...ODD_VALUES.map((value, at) => ({ name: `value-${at}`, value })),
  ];
}
