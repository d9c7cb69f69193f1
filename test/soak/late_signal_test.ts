/**
 * A host that notices late that it is to stop. Guards against requests that
 * count as early because the host counts from when it noticed the signal.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CallKind } from "./call.ts";
import { type LateResult, sendLate } from "./late_request.ts";
import { sleep } from "./sleep.ts";
import { type TestFleet, withFleet } from "./test_fleet.ts";

/** How late the host notices the signal. */
const SIGNAL_DELAY_MS = 100;
/** Requests that are sent later may not be cut whatever they take. */
const EARLY_MS = 3000;
const REQUESTS = 10;
const REQUEST_INTERVAL_MS = 6;
const WARM_UP_CALLS = 12;
/** Streams last for 5.6 s. */
const LONG_STREAM_SLOWDOWN = 7;
const OPTIONS = { hosts: 2, routeTimeoutMs: 12_000 };

async function sendStreams(
  { hosts: [host] }: TestFleet,
  { name, delaysMs }: {
    readonly name: string;
    readonly delaysMs: readonly number[];
  },
): Promise<LateResult[]> {
  assert.ok(host);
  return await Promise.all(delaysMs.map((headAfterMs, at) =>
    sendLate({
      id: `${name}-${at}`,
      kind: CallKind.stream,
      address: host.callers,
      headAfterMs,
      bodyAfterMs: 0,
    })
  ));
}

const NAME =
  "a stopping host that noticed its signal late cuts no stream that is sent late";

test(NAME, async (test) => {
  await withFleet(async (fleet) => {
    const [host] = fleet.hosts;
    assert.ok(host);
    const delaysMs = Array<number>(WARM_UP_CALLS).fill(0);
    await sendStreams(fleet, { name: "warm", delaysMs });
    for (const { standin } of fleet.world.readyReplicas()) {
      if (standin.role === "decode") standin.slowdown = LONG_STREAM_SLOWDOWN;
    }
    host.process.pause();
    const stopped = host.process.stop();
    const sent = sendStreams(fleet, {
      name: "late",
      delaysMs: Array.from(
        { length: REQUESTS },
        (_, at) => EARLY_MS + 10 + at * REQUEST_INTERVAL_MS,
      ),
    });
    await sleep(SIGNAL_DELAY_MS);
    host.process.resume();
    const results = await sent;
    await stopped;
    test.diagnostic(JSON.stringify(results));
    const cut = results.filter(({ status, isComplete }) =>
      status === 200 && !isComplete || status === 502
    );
    assert.deepEqual(cut, []);
  }, OPTIONS);
});
