/**
 * Guards against requests that a stopping host accepts although such requests
 * take longer than it has left, and against refusals of those that have time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Route, RouteKind } from "../../../src/gateway/mod.ts";
import { StopCheck } from "../../../src/gateway/requests/stop_check.ts";
import { TEST_ROUTE } from "../test_route.ts";

const GRACE_MS = 8000;
/** A stopping host ends its open requests this long after the signal. */
const ENDS_AFTER_MS = 7500;
/** Requests that are whole later have other hosts to go to. */
const REDIRECTED_AFTER_MS = 3000;
/** By how much a host may notice its signal late. */
const SIGNAL_DELAY_MS = 200;
const SERVICE = "service";

type World = {
  readonly check: StopCheck;
  /** Records runs that take this long each. */
  observe(route: Route, durationsMs: readonly number[]): void;
  /** The last moment after the signal at which a request is accepted. */
  acceptedUntilMs(route: Route, wholeAfterMs?: number): number;
};

function createWorld(): World {
  let now = 100_000;
  const clock = { now: () => now, after: () => () => undefined };
  const stop: { requestedAt?: number; graceMs: number } = { graceMs: GRACE_MS };
  const check = new StopCheck({ clock, stop });
  return {
    check,
    observe: ({ name }, durationsMs) => {
      for (const durationMs of durationsMs) {
        const route = { service: SERVICE, route: name };
        const run = check.runs.start(route, now - durationMs);
        run.completed(now);
      }
    },
    acceptedUntilMs: (route, wholeAfterMs) => {
      const requestedAt = stop.requestedAt = now;
      let acceptedMs = -1;
      for (let afterMs = 0; afterMs <= GRACE_MS; afterMs += 10) {
        now = requestedAt + afterMs;
        const wholeAt = requestedAt + (wholeAfterMs ?? afterMs);
        const deadline = now + route.timeoutMs;
        const request = { route, service: SERVICE, deadline, wholeAt };
        if (check.shortageOf(request) === undefined) acceptedMs = afterMs;
      }
      return acceptedMs;
    },
  };
}

function same(durationMs: number, count = 20): number[] {
  return Array.from({ length: count }, () => durationMs);
}

const unsafe: Route = { ...TEST_ROUTE, kind: RouteKind.unsafe, attempts: 1 };
const stream: Route = { ...TEST_ROUTE, kind: RouteKind.streaming, attempts: 1 };

test("a host that does not stop refuses nothing", () => {
  const { check } = createWorld();
  const request = { route: unsafe, service: SERVICE, deadline: 0 };
  assert.equal(check.shortageOf(request), undefined);
});

test("an early request is accepted as long as runs like it would end in time", () => {
  const wholeEarly = 0;
  for (const durationMs of [100, 1000, 2500, 5000]) {
    const world = createWorld();
    world.observe(unsafe, same(durationMs));
    const lastMs = world.acceptedUntilMs(unsafe, wholeEarly);
    assert.ok(lastMs + durationMs <= ENDS_AFTER_MS);
    assert.ok(lastMs + durationMs * 1.2 + 500 >= ENDS_AFTER_MS);
  }
});

test("a request that may not be repeated is weighed against the longest run", () => {
  const wholeEarly = 0;
  const world = createWorld();
  world.observe(unsafe, [...same(100, 100), 4000]);
  const lastUnsafeMs = world.acceptedUntilMs(unsafe, wholeEarly);
  assert.ok(lastUnsafeMs <= ENDS_AFTER_MS - 4000);
  const safeWorld = createWorld();
  safeWorld.observe(TEST_ROUTE, [...same(100, 100), 4000]);
  const lastMs = safeWorld.acceptedUntilMs(TEST_ROUTE, wholeEarly);
  assert.ok(lastMs > ENDS_AFTER_MS - 1000);
});

// Half of the streams before had to end in time; the others were cut.
test("an early stream is accepted only if nearly all streams end in time", () => {
  const wholeEarly = 0;
  const world = createWorld();
  world.observe(stream, [...same(1000, 60), ...same(6000, 40)]);
  assert.ok(
    world.acceptedUntilMs(stream, wholeEarly) <= ENDS_AFTER_MS - 6000,
  );
  const calmWorld = createWorld();
  calmWorld.observe(stream, [...same(1000, 98), ...same(6000, 2)]);
  assert.ok(calmWorld.acceptedUntilMs(stream, wholeEarly) > 5000);
});

// Late requests were accepted if the longest run before would have ended in time.
test("a late request is accepted only if it can't outlast the host", () => {
  for (const route of [unsafe, stream, TEST_ROUTE]) {
    const world = createWorld();
    world.observe(route, same(100));
    const lateAfterMs = REDIRECTED_AFTER_MS - SIGNAL_DELAY_MS;
    assert.ok(world.acceptedUntilMs(route) <= lateAfterMs);
    const shortWorld = createWorld();
    shortWorld.observe(route, same(100));
    const short = { ...route, timeoutMs: 2500 };
    const lastMs = shortWorld.acceptedUntilMs(short);
    assert.equal(lastMs, ENDS_AFTER_MS - short.timeoutMs);
  }
});

test("a run in progress counts as long as it has lasted", () => {
  const world = createWorld();
  const { check } = world;
  world.observe(unsafe, same(100));
  check.runs.start({ service: SERVICE, route: unsafe.name }, 100_000 - 3000);
  const wholeEarly = 0;
  const lastMs = world.acceptedUntilMs(unsafe, wholeEarly);
  assert.ok(lastMs < ENDS_AFTER_MS - 3000);
});

test("a run that was given up counts only if it lasted longest", () => {
  const { check } = createWorld();
  const route = { service: SERVICE, route: unsafe.name };
  check.runs.start(route, 0).dropped(5000);
  check.runs.start(route, 6000).dropped(6100);
  const { runMs, runs } = check.runs.timeOf(route, { share: 1, now: 7000 });
  assert.deepEqual({ runMs, runs }, { runMs: 5000, runs: 1 });
});

test("a request that ends by its deadline before the host does is accepted", () => {
  const world = createWorld();
  world.observe(unsafe, same(5000));
  const short = { ...unsafe, timeoutMs: 1000 };
  assert.ok(world.acceptedUntilMs(short) >= ENDS_AFTER_MS - 1000);
});

test("without observations, requests that come after the redirection are refused", () => {
  const lastMs = createWorld().acceptedUntilMs(unsafe);
  const lateAfterMs = REDIRECTED_AFTER_MS - SIGNAL_DELAY_MS;
  assert.ok(Math.abs(lastMs - lateAfterMs) <= 100, String(lastMs));
});
