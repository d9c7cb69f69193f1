/**
 * Guards against replicas that send bytes without end: a host held them in parts
 * that took many times their size, ran out of memory and ended, and with it the
 * requests of all its callers.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import {
  endlessPrefill,
  endlessSuccess,
  MODEL_HEADERS,
  openCallers,
  Pace,
} from "./endless_replies.ts";
import {
  HOST_MEMORY_BYTES,
  type LimitedHostOptions,
  Path,
  withLimitedHost,
} from "./limited_host.ts";
import { sleep } from "./sleep.ts";

const RUN_MS = 4000;
const MANY = 100;
const CHUNKED = ["Transfer-Encoding: chunked"];
/** The body takes a sixth of the bytes, and each part of it an object. */
const SMALL_CHUNK = "1\r\nx\r\n";

/** Requests whose responses have no end. */
type EndlessCase = LimitedHostOptions & {
  readonly path: Path;
  readonly count: number;
  readonly pace: Pace;
  readonly headers?: readonly string[];
};

/** Fails unless the host runs on within its memory and serves others. */
async function checkHost(
  { path, count, pace, headers, ...options }: EndlessCase,
) {
  const figures = await withLimitedHost(options, async ({ callers }) => {
    const request = { path, count, pace, ...(headers && { headers }) };
    const faulty = openCallers(callers, request);
    await sleep(RUN_MS);
    faulty.close();
  });
  const { exit, peakBytes, sound: { sent, served, slowestMs } } = figures;
  console.log(
    `Peak ${Math.round(peakBytes / 1e6)} MB; others: ${served} of ${sent} ` +
      `served, the slowest in ${Math.round(slowestMs)} ms`,
  );
  assert.equal(exit, undefined);
  assert.ok(peakBytes < HOST_MEMORY_BYTES, `Peak ${peakBytes} bytes`);
  assert.equal(served, sent);
}

const SMALL_CHUNKS: Readonly<Record<string, EndlessCase>> = {
  "a response that is buffered": {
    answer: endlessSuccess(CHUNKED, SMALL_CHUNK),
    path: Path.safe,
    count: 1,
    pace: Pace.full,
  },
  "a stream that can be resumed": {
    answer: endlessSuccess(CHUNKED, SMALL_CHUNK),
    path: Path.resumable,
    count: 1,
    pace: Pace.full,
  },
  "streams that callers read": {
    answer: endlessSuccess(CHUNKED, SMALL_CHUNK),
    path: Path.stream,
    count: MANY,
    pace: Pace.full,
  },
  "streams that callers don't read": {
    answer: endlessSuccess(CHUNKED, SMALL_CHUNK),
    path: Path.stream,
    count: MANY,
    pace: Pace.none,
  },
  "events of one byte": {
    answer: endlessSuccess(CHUNKED, "1\r\n\n\r\n"),
    path: Path.resumable,
    count: MANY,
    pace: Pace.none,
  },
  "prefills": {
    answer: endlessPrefill(SMALL_CHUNK),
    isEngine: true,
    path: Path.engine,
    count: MANY,
    pace: Pace.full,
    headers: MODEL_HEADERS,
  },
};

for (const [what, endless] of Object.entries(SMALL_CHUNKS)) {
  const name = `no host ends by small chunks without end: ${what}`;
  test(name, knownRed(name), async () => {
    await checkHost(endless);
  });
}
