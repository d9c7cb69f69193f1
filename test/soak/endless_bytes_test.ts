/**
 * Guards against replicas that send bytes without end: a host held them in parts
 * that took many times their size, ran out of memory and ended, and with it the
 * requests of all its callers.
 */
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { checkHost, type EndlessCase } from "./check_host.ts";
import {
  ENDLESS_BYTES,
  MODEL_HEADERS,
  Pace,
  SMALL_CHUNKS,
} from "./endless_replies.ts";
import { Path } from "./limited_host.ts";

const MANY = 100;
const SMALL_CHUNK_CASES: Readonly<Record<string, EndlessCase>> = {
  "a response that is buffered": {
    endless: SMALL_CHUNKS,
    path: Path.safe,
    count: 1,
    pace: Pace.full,
  },
  "a stream that can be resumed": {
    endless: SMALL_CHUNKS,
    path: Path.resumable,
    count: 1,
    pace: Pace.full,
  },
  "streams that callers read": {
    endless: SMALL_CHUNKS,
    path: Path.stream,
    count: MANY,
    pace: Pace.full,
  },
  "streams that callers don't read": {
    endless: SMALL_CHUNKS,
    path: Path.stream,
    count: MANY,
    pace: Pace.none,
  },
  "events of one byte": {
    endless: { ...SMALL_CHUNKS, piece: "1\r\n\n\r\n" },
    path: Path.resumable,
    count: MANY,
    pace: Pace.none,
  },
  "prefills": {
    endless: { ...SMALL_CHUNKS, place: "prefill" },
    isEngine: true,
    path: Path.engine,
    count: MANY,
    pace: Pace.full,
    headers: MODEL_HEADERS,
  },
};

for (const [what, one] of Object.entries(SMALL_CHUNK_CASES)) {
  const name = `no host ends by small chunks without end: ${what}`;
  test(name, knownRed(name), async () => {
    await checkHost(one);
  });
}

/** Long bodies, which sound replicas may send as well. */
const FULL_SPEED_CASES: Readonly<Record<string, EndlessCase>> = {
  "responses that are buffered": {
    endless: ENDLESS_BYTES,
    path: Path.safe,
    count: MANY,
    pace: Pace.full,
  },
  "streams": {
    endless: ENDLESS_BYTES,
    path: Path.stream,
    count: MANY,
    pace: Pace.full,
  },
  "streams that callers hardly read": {
    endless: ENDLESS_BYTES,
    path: Path.stream,
    count: MANY,
    pace: Pace.slow,
  },
};

for (const [what, one] of Object.entries(FULL_SPEED_CASES)) {
  const name = `others are served beside bodies without end: ${what}`;
  test(name, knownRed(name), async () => {
    await checkHost(one);
  });
}

const HELD = "no host exceeds its memory by events that have no end yet";
test(HELD, knownRed(HELD), async () => {
  const unfinished = {
    place: "body",
    headers: ["Content-Length: 3000000"],
    start: "data: ",
    piece: "x".repeat(1_000_000),
    isOnce: true,
  } as const;
  await checkHost({
    endless: unfinished,
    path: Path.resumable,
    count: 400,
    pace: Pace.full,
  }, 6000);
});
