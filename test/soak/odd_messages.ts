/** Messages between hosts that are sound but for one value. */
import fc from "fast-check";
import "../fixed_seed.ts";
import { LinkPath } from "../../src/gateway/peers/link.ts";
import { deepText, ODD_ADDRESSES } from "../platform/odd_rows.ts";

const MESSAGES_PER_PATH = 400;
const DEEP_LEVELS = 20_000;
const MARK = "@odd@";

/** The host that sends them. */
export const HOST = {
  id: "odd",
  address: "127.0.0.1:9",
  hall: "north",
  capacity: 1,
};
const ENTRY = {
  incarnation: "odd-replica",
  born: 1,
  service: "plain",
  address: "127.0.0.1:9",
  hall: "north",
  slots: 1,
  leaving: false,
  stage: "decode",
  coldMs: 0,
  softwareVersion: "v1",
};
const CRASH = { fingerprint: "f", incarnation: "i-1@1", agoMs: 1, ranMs: 1 };
const RATE = { perSecond: 1, burst: 1 };
const USAGE = { customer: "c", units: 1, agoMs: 1, rate: RATE, version: 1 };
const CONFIG = {
  version: 2,
  routes: [{
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "safe",
    timeoutMs: 1000,
    objectiveMs: 1000,
    gapMs: 100,
    silenceMs: 1000,
    attempts: 1,
    priority: 1,
    targets: [{ service: "plain", weight: 1 }],
    resumable: false,
    anonymous: true,
  }],
  services: [{ name: "plain", connectionLimit: 1, healthPath: "/health" }],
  limits: { bodyBytes: 1, headBytes: 1, headerMs: 1000, idleMs: 1000 },
};
const DELTA = {
  since: -1,
  revision: 1,
  changed: [ENTRY],
  gone: ["i-2"],
  size: 1,
  digest: 1,
};
const UPDATES = [
  {
    type: "crashes",
    crashes: [CRASH],
    parts: [{ ...CRASH, request: "r", depth: 1 }],
    services: [{ ...CRASH, replicas: 1 }],
    answered: [{ fingerprint: "f", agoMs: 1, host: "h", responses: 1 }],
  },
  { type: "limits", limits: [{ incarnation: "x", perSecond: 1, agoMs: 1 }] },
  { type: "leaving", incarnations: ["x"] },
];
const SUMMARY = { units: [["prefill", 1]], lengths: [], replicas: [] };
const RATES = { type: "rates", service: "engine", ageMs: 1, summary: SUMMARY };
const SIZES = { tokens: 10, promptTokens: 5, outputTokens: 5 };

const MEMBER_MESSAGES = [
  { type: "member", shards: [1], upMs: 1, usage: [USAGE] },
  { type: "backup", run: "r", usage: [USAGE] },
  {
    type: "take",
    id: "t",
    customer: "c",
    units: 1,
    rate: RATE,
    version: 1,
    mostWaitMs: 1,
    priority: 1,
    retry: { key: "k", longestMs: 1 },
  },
  { type: "give-back", customer: "c", units: 1, agoMs: 1 },
];

/** Sound messages that the opener of a link sends, by the link's path. */
export const TO_ACCEPTOR: Readonly<Record<string, readonly object[]>> = {
  [LinkPath.state]: [
    { type: "follow", revision: -1, version: 0, sentAt: 0, host: HOST },
    { type: "sync", sentAt: 0, version: 3 },
    { type: "joined", hosts: [HOST] },
    ...UPDATES,
  ],
  [LinkPath.plan]: [
    {
      type: "ask",
      id: "a",
      service: "engine",
      ...SIZES,
      customer: "",
      objectiveMs: 1000,
      hall: "north",
      priority: 1,
      slackMs: 100,
      patienceMs: 100,
      key: "k",
      longestRetryMs: 10,
      deadlineMs: 100,
      begun: false,
      whole: false,
      route: "r",
      excluded: ["i-3"],
      boundTo: { softwareVersion: "v1" },
    },
    {
      type: "keep",
      id: "b",
      service: "engine",
      decode: "i-5@1",
      ...SIZES,
      priority: 1,
      customer: "",
      events: 1,
      runMs: 1,
    },
    { type: "progress", id: "a", stage: "started", spentMs: 1, events: 1 },
    RATES,
  ],
  [LinkPath.quota]: MEMBER_MESSAGES,
  [LinkPath.limit]: MEMBER_MESSAGES,
};

/** Sound messages that the acceptor of a link sends, by the link's path. */
export const TO_OPENER: Readonly<Record<string, readonly object[]>> = {
  [LinkPath.state]: [
    {
      type: "state",
      era: 1,
      ageMs: 0,
      version: 2,
      newest: 3,
      config: CONFIG,
      configAsOf: 1,
      echo: { sentAt: 1, heardAt: 1 },
      listing: DELTA,
      hosts: [HOST],
      hostsGone: ["gone"],
    },
    ...UPDATES,
  ],
  [LinkPath.plan]: [
    RATES,
    { type: "grant", id: "a", decode: "i-5@1", prefill: "i-3@1" },
  ],
  [LinkPath.quota]: [{ type: "hello", run: "r" }],
  [LinkPath.limit]: [{ type: "hello", run: "r" }],
};

/** Sound calls to a keeper of stream records. */
export const KEEPER_MESSAGES = [
  {
    type: "keep",
    origin: "o",
    records: [{ service: "engine", id: "s", order: 1, ttlMs: 1000 }],
    isArchived: true,
  },
  { type: "ask", service: "engine", id: "s" },
];

/** Responses to calls of other hosts. */
export const RESPONSES = [
  {
    hosts: [HOST],
    version: 2,
    newest: 3,
    configAgeMs: 1,
    config: CONFIG,
    listing: { revision: 1, entries: [ENTRY], isExact: true, retained: ["x"] },
    changes: DELTA,
  },
  { type: "known", softwareVersion: "v1", origin: "o", order: 1 },
  { type: "unknown", versions: ["v1", null], mixedForMs: 1, isCovered: true },
];

/** Values that may take the place of any other, as JSON text. */
const ODD_TEXTS = [
  ...["1e400", "-1e400", "1e308", "-1e308", "1e21", "9007199254740993"],
  ...["-1", "0", "0.5", "-0", "2147483648", "null", "true", "{}", "[]", "[{}]"],
  ...['""', '"__proto__"', '"\\u0000"', '"\\ud800"', '"a\\r\\nb: c"'],
  ...ODD_ADDRESSES.map((text) => JSON.stringify(text)),
  JSON.stringify("x".repeat(100_000)),
  deepText(DEEP_LEVELS),
];

/** The paths of all values in a message. */
function pathsOf(value: unknown): string[][] {
  if (typeof value !== "object" || value === null) return [[]];
  const below = Object.entries(value).flatMap(([key, part]) =>
    pathsOf(part).map((path) => [key, ...path])
  );
  return [[], ...below];
}

/** A copy of a value with a mark at a path. */
function marked(value: unknown, [key, ...path]: readonly string[]): unknown {
  if (key === undefined) return MARK;
  const copy = structuredClone(value) as Record<string, unknown>;
  copy[key] = marked(copy[key], path);
  return copy;
}

/** Messages with an odd value each, and a sound one of each. */
export function oddTexts(messages: readonly object[]): string[] {
  const odd = fc.constantFrom(...messages).chain((message) =>
    fc.tuple(
      fc.constantFrom(...pathsOf(message)),
      fc.constantFrom(...ODD_TEXTS),
    ).map(([path, text]) =>
      JSON.stringify(marked(message, path)).replace(`"${MARK}"`, () => text)
    )
  );
  const sound = messages.map((message) => JSON.stringify(message));
  return [...fc.sample(odd, MESSAGES_PER_PATH), ...sound];
}
