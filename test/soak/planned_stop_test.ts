/**
 * Callers of a host that stops, beside a host that goes on. Guards against
 * requests that a stopping host sends to a replica although it exits before
 * they are answered.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CallKind, type CallResult } from "./call.ts";
import { callHost, type FleetHost } from "./fleet.ts";
import { type LateRequest, type LateResult, sendLate } from "./late_request.ts";
import { sleep } from "./sleep.ts";
import { type TestFleet, withFleet } from "./test_fleet.ts";

/** The grace period of the hosts; they end what is left 0.5 s before. */
const GRACE_MS = 8000;
/** Requests that are sent by then are served if there is time. */
const SERVED_UNTIL_MS = 3000;
/** Longer than the grace period, so that only the stop ends requests. */
const ROUTE_TIMEOUT_MS = 12_000;
/** Work of a plain replica without a slowdown. */
const PLAIN_DURATION_MS = 30;
/** Streams of 20 events last for 4 s. */
const STREAM_SLOWDOWN = 5;
const WARM_UP_CALLS = 12;
const OPTIONS = { hosts: 2, routeTimeoutMs: ROUTE_TIMEOUT_MS };

function slowStreams({ world }: TestFleet, slowdown: number): void {
  for (const { standin } of world.readyReplicas()) {
    if (standin.role === "decode") standin.slowdown = slowdown;
  }
}

function slowDown({ world }: TestFleet, durationMs: number): void {
  for (const { standin } of world.readyReplicas()) {
    if (standin.role === "plain") {
      standin.slowdown = durationMs / PLAIN_DURATION_MS;
    }
  }
}

/** Lets a host observe how long the calls of a kind take. */
async function warmUp(host: FleetHost, kind: CallKind): Promise<void> {
  const results = await Promise.all(
    Array.from({ length: WARM_UP_CALLS }, (_, at) =>
      sendLate({
        id: `warm-${kind}-${at}`,
        kind,
        address: host.callers,
        headAfterMs: 0,
        bodyAfterMs: 0,
      })),
  );
  assert.ok(results.every(({ status }) => status === 200));
}

/** Sends late requests from the moment on at which a host is told to stop. */
async function stopBeside(
  { process, callers: address }: FleetHost,
  requests: readonly Omit<LateRequest, "address">[],
): Promise<LateResult[]> {
  const [results] = await Promise.all([
    Promise.all(requests.map((late) => sendLate({ ...late, address }))),
    process.stop(),
  ]);
  assert.deepEqual(process.exits.at(-1)?.code, 0);
  return results;
}

function unanswered(results: readonly LateResult[]): LateResult[] {
  return results.filter(({ isComplete }) => !isComplete);
}

function statusesOf(
  results: readonly Pick<LateResult, "id" | "status">[],
): string {
  return results.map(({ id, status }) => `${id}: ${status}`).join(", ");
}

// Whether there is time was decided by the head of the request.
test("a request whose body ends late in a stop is served or refused as not run", async (test) => {
  await withFleet(async (fleet) => {
    const [host] = fleet.hosts;
    assert.ok(host);
    slowDown(fleet, 2200);
    await warmUp(host, CallKind.unsafe);
    const results = await stopBeside(
      host,
      Array.from({ length: 12 }, (_, at) => ({
        id: `late-${at}`,
        kind: CallKind.unsafe,
        headAfterMs: 300 + 200 * at,
        bodyAfterMs: at % 2 === 0 ? 1800 : 3500,
        isChunked: at % 3 === 0,
      })),
    );
    test.diagnostic(statusesOf(results));
    assert.deepEqual(unanswered(results), []);
    const other = results.filter(({ status }) => ![200, 503].includes(status));
    assert.deepEqual(other, [], statusesOf(results));
    const ran = new Set(
      fleet.world.arrivals.filter(({ ran }) => ran).map(({ request }) =>
        request
      ),
    );
    const refused = results.filter(({ status }) => status === 503);
    assert.deepEqual(refused.filter(({ id }) => ran.has(id)), []);
    assert.ok(refused.every((result) => result.closesConnection));
    // There is time for those that are whole early.
    assert.ok(results.some(({ status }) => status === 200));
  }, OPTIONS);
});

// Every request counted as one that is answered within half a second.
test("a stopping host sends nothing to replicas that it does not see answered", async (test) => {
  await withFleet(async (fleet) => {
    const [host] = fleet.hosts;
    assert.ok(host);
    const durationMs = 5000;
    slowDown(fleet, durationMs);
    await warmUp(host, CallKind.unsafe);
    const results = await stopBeside(
      host,
      Array.from({ length: 24 }, (_, at) => ({
        id: `slow-${at}`,
        kind: CallKind.unsafe,
        headAfterMs: 100 + 120 * at,
        bodyAfterMs: 10,
      })),
    );
    test.diagnostic(statusesOf(results));
    assert.deepEqual(unanswered(results), []);
    const other = results.filter(({ status }) => ![200, 503].includes(status));
    assert.deepEqual(other, [], statusesOf(results));
    const early = results.filter(({ sentAtMs }) => sentAtMs < 500);
    assert.ok(early.every(({ status }) => status === 200), statusesOf(early));
  }, OPTIONS);
});

// It was cut without an answer when the process ended.
test("a request whose body never ends is refused before its host exits", async () => {
  await withFleet(async (fleet) => {
    const [host] = fleet.hosts;
    assert.ok(host);
    const results = await stopBeside(
      host,
      [true, false].map((isChunked) => ({
        id: `endless-${isChunked}`,
        kind: CallKind.unsafe,
        headAfterMs: 500,
        bodyAfterMs: Infinity,
        isChunked,
      })),
    );
    assert.deepEqual(results.map(({ status }) => status), [503, 503]);
    assert.ok(results.every(({ closesConnection }) => closesConnection));
  }, OPTIONS);
});

// Requests were weighed against the new grace period and cut by the old one.
// Streams were refused by a constant, whatever they took.
for (const kind of [CallKind.stream, CallKind.resumable]) {
  test(`a stopping host finishes each stream that it begins (${kind})`, async (test) => {
    await withFleet(async (fleet) => {
      const [host] = fleet.hosts;
      assert.ok(host);
      slowStreams(fleet, STREAM_SLOWDOWN);
      await warmUp(host, kind);
      const stopped = stopBeside(
        host,
        Array.from({ length: 20 }, (_, at) => ({
          id: `${kind}-${at}`,
          kind,
          headAfterMs: 100 + 140 * at,
          bodyAfterMs: at % 4 === 0 ? 2500 : 10,
        })),
      );
      // A second signal must change nothing.
      await sleep(1000);
      void host.process.stop();
      const results = await stopped;
      test.diagnostic(statusesOf(results));
      assert.deepEqual(unanswered(results), []);
      assert.ok(results.some(({ status }) => status === 200));
    }, OPTIONS);
  });
}

/** Longer than all streams before the stop, and than a late one may take. */
const LONG_STREAM_SLOWDOWN = 7;

// The time for a late stream was that of the longest one before.
for (
  const [name, timesOf] of [
    ["that is sent late", (at: number) => [3010 + 15 * at, 0]],
    ["whose body ends late", (at: number) => [800 + 150 * at, 2500]],
  ] as const
) {
  test(`a stopping host cuts no stream ${name}`, async (test) => {
    await withFleet(async (fleet) => {
      const [host] = fleet.hosts;
      assert.ok(host);
      await warmUp(host, CallKind.stream);
      slowStreams(fleet, LONG_STREAM_SLOWDOWN);
      const results = await stopBeside(
        host,
        Array.from({ length: 10 }, (_, at) => {
          const [headAfterMs = 0, bodyAfterMs = 0] = timesOf(at);
          const id = `long-${at}`;
          const kind = CallKind.stream;
          return { id, kind, headAfterMs, bodyAfterMs, isChunked: true };
        }),
      );
      test.diagnostic(statusesOf(results));
      const cut = unanswered(results).filter(({ status, sentAtMs }) =>
        status !== 0 && sentAtMs > SERVED_UNTIL_MS
      );
      assert.deepEqual(cut, []);
      assert.ok(results.some(({ status }) => status === 503));
    }, OPTIONS);
  });
}

// The time for a late request was that of the longest one before.
test("a stopping host cuts no unsafe request that is sent late", async (test) => {
  await withFleet(async (fleet) => {
    const [host] = fleet.hosts;
    assert.ok(host);
    await warmUp(host, CallKind.unsafe);
    slowDown(fleet, 5000);
    const results = await stopBeside(
      host,
      Array.from({ length: 10 }, (_, at) => ({
        id: `long-${at}`,
        kind: CallKind.unsafe,
        headAfterMs: 800 + 150 * at,
        bodyAfterMs: 2500,
      })),
    );
    test.diagnostic(statusesOf(results));
    const cut = results.filter(({ status, sentAtMs }) =>
      status !== 503 && sentAtMs > SERVED_UNTIL_MS
    );
    assert.deepEqual(cut, [], statusesOf(cut));
  }, OPTIONS);
});

test("a reload while a host stops does not change when its requests end", async (test) => {
  await withFleet(async (fleet) => {
    const [host] = fleet.hosts;
    assert.ok(host);
    slowDown(fleet, 5000);
    await warmUp(host, CallKind.unsafe);
    const stopped = stopBeside(
      host,
      Array.from({ length: 8 }, (_, at) => ({
        id: `reload-${at}`,
        kind: CallKind.unsafe,
        headAfterMs: 2600 + 50 * at,
        bodyAfterMs: 10,
      })),
    );
    await sleep(500);
    host.process.settings.change((settings) =>
      settings.replace('grace = "8s"', 'grace = "30s"')
    );
    host.process.reload();
    const results = await stopped;
    test.diagnostic(statusesOf(results));
    assert.ok(host.process.logLines.some((line) => line.includes("SIGHUP")));
    assert.deepEqual(results.filter(({ status }) => status !== 503), []);
  }, OPTIONS);
});

test("callers that keep a stopping host busy get complete answers", async () => {
  await withFleet(async (fleet) => {
    const [host] = fleet.hosts;
    assert.ok(host);
    slowDown(fleet, 600);
    const kinds = [CallKind.safe, CallKind.unsafe, CallKind.stream];
    await Promise.all(kinds.map((kind) => warmUp(host, kind)));
    const startedAt = performance.now();
    let isStopped = false;
    const results: CallResult[] = [];
    const callers = Array.from({ length: 24 }, async (_, at) => {
      const kind = kinds[at % kinds.length] ?? CallKind.safe;
      for (let count = 0; !isStopped; count++) {
        results.push(
          await callHost(host, { id: `busy-${at}-${count}`, kind }),
        );
        await sleep(20);
      }
    });
    await host.process.stop();
    isStopped = true;
    await Promise.all(callers);
    const sentAfterMs = (result: CallResult) => result.sentAtMs - startedAt;
    // A connection that is refused, or reset unread, was not taken.
    const arrived = new Set(
      fleet.world.arrivals.map(({ request }) => request),
    );
    const cut = results.filter(({ id, isComplete }) =>
      !isComplete && arrived.has(id)
    );
    assert.deepEqual(cut, []);
    const early = results.filter((result) =>
      sentAfterMs(result) < SERVED_UNTIL_MS
    );
    assert.deepEqual(
      early.filter(({ status }) => status !== 200 && status !== 503),
      [],
    );
    const late = results.filter(({ status }) =>
      ![0, 200, 503].includes(status)
    );
    assert.deepEqual(late, []);
    assert.ok(early.some(({ status }) => status === 200));
    assert.ok(performance.now() - startedAt < GRACE_MS);
  }, OPTIONS);
});
