/**
 * Guards against replicas that send bytes without end to a host that reaches
 * them by way of another one: either host ran out of memory, or kept others
 * waiting.
 */
import { test } from "node:test";
import { checkHost, type EndlessCase } from "./check_host.ts";
import { ENDLESS_BYTES, Pace, SMALL_CHUNKS } from "./endless_replies.ts";
import { Path } from "./limited_host.ts";

const MANY = 100;

const CASES: Readonly<Record<string, EndlessCase>> = {
  "small chunks of a response that is buffered": {
    endless: SMALL_CHUNKS,
    path: Path.safe,
    count: 1,
    pace: Pace.full,
  },
  "small chunks of streams": {
    endless: SMALL_CHUNKS,
    path: Path.stream,
    count: MANY,
    pace: Pace.full,
  },
  "small chunks of streams that callers don't read": {
    endless: SMALL_CHUNKS,
    path: Path.stream,
    count: MANY,
    pace: Pace.none,
  },
  "a body at full speed": {
    endless: ENDLESS_BYTES,
    path: Path.stream,
    count: 1,
    pace: Pace.full,
  },
  "responses at full speed that are buffered": {
    endless: ENDLESS_BYTES,
    path: Path.safe,
    count: MANY,
    pace: Pace.full,
  },
  "streams at full speed": {
    endless: ENDLESS_BYTES,
    path: Path.stream,
    count: MANY,
    pace: Pace.full,
  },
};

for (const [what, one] of Object.entries(CASES)) {
  const name = `hosts at both ends of a tunnel serve on: ${what}`;
  test(name, async () => {
    await checkHost({ ...one, isByPeer: true });
  });
}
