/**
 * A burst of twice the room of a pool for four seconds, whose callers come
 * back. Guards against second refusals, idle room and gains by repeating.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  CAPACITY,
  OBJECTIVE_MS,
  type ReturningCaller,
  type ReturningLoad,
  serve,
  worthOf,
} from "./returning_callers.ts";

const BURST_FROM_MS = 2000;
const BURST_UNTIL_MS = 6000;
/** Callers whose first attempt was sent until then are counted. */
const COUNTED_MS = 12_000;

/** Comes back once, that long after the time it was told. */
function onceLate(lateMs: number): ReturningLoad["returning"] {
  return (_caller, toldMs, attempts) =>
    attempts === 1 ? toldMs + lateMs : undefined;
}

function burst(overrides: Partial<ReturningLoad>) {
  const { callers, idleAt } = serve({
    rate: (now) =>
      now < BURST_FROM_MS || now >= BURST_UNTIL_MS
        ? CAPACITY * 0.7
        : CAPACITY * 2,
    returning: onceLate(0),
    bookedReturns: true,
    untilMs: 34_000,
    ...overrides,
  });
  const counted = callers.filter(({ firstAt }) => firstAt < COUNTED_MS);
  return { callers: counted, idleAt };
}

function wasRefused({ refusedAt }: ReturningCaller): boolean {
  return refusedAt.length > 0;
}

/** Share of the refused callers that were served when they came back. */
function returnsServed(callers: readonly ReturningCaller[]): number {
  const refused = callers.filter(wasRefused);
  return refused.filter(({ servedAt }) => servedAt !== undefined).length /
    refused.length;
}

for (const lateMs of [0, 200]) {
  test(`serves callers that come back ${lateMs} ms after their time, and to more worth than with jitter`, () => {
    const returning = onceLate(lateMs);
    const booked = burst({ returning }).callers;
    const jittered = burst({ returning, bookedReturns: false }).callers;
    assert.ok(returnsServed(booked) >= 0.97);
    const [worth, jitteredWorth] = [worthOf(booked), worthOf(jittered)];
    assert.ok(worth > jitteredWorth, `${worth}, jitter ${jitteredWorth}`);
  });
}

test("keeps more requests in time than with jitter while bursts follow each other for 30 s", () => {
  const waves = (bookedReturns: boolean) => {
    const { callers } = serve({
      rate: (now) => {
        if (now >= 30_000) return CAPACITY * 0.5;
        return now % 10_000 < 4000 ? CAPACITY * 1.8 : CAPACITY * 0.9;
      },
      returning: onceLate(60),
      bookedReturns,
      untilMs: 50_000,
    });
    return callers.filter(({ firstAt }) => firstAt < 35_000);
  };
  const [booked, jittered] = [waves(true), waves(false)];
  assert.ok(worthOf(booked) >= worthOf(jittered) + 0.05);
  const inTime = (callers: readonly ReturningCaller[]) =>
    callers.filter(({ firstAt, servedAt = Infinity }) =>
      servedAt <= firstAt + OBJECTIVE_MS
    ).length;
  assert.ok(inTime(booked) >= inTime(jittered) * 1.5);
});

test("leaves no room idle for callers that never come back", () => {
  const { callers, idleAt } = burst({ returning: () => undefined });
  const duringBurst = [...idleAt].filter(([now]) =>
    now >= BURST_FROM_MS + 1000 && now < BURST_UNTIL_MS
  );
  const idle = duringBurst.reduce((sum, [, share]) => sum + share, 0) /
    duringBurst.length;
  assert.ok(idle < 0.05, `${idle}`);
  const jittered = burst({ returning: () => undefined, bookedReturns: false });
  assert.ok(worthOf(callers) >= worthOf(jittered.callers) - 0.01);
});

test("callers that repeat at once are served no sooner than those that wait", () => {
  const repeats = ({ key }: ReturningCaller) => Number(key.slice(1)) % 5 === 0;
  const { callers } = burst({
    returning: (caller, toldMs, attempts) =>
      repeats(caller)
        ? (attempts < 30 ? 20 * attempts : undefined)
        : onceLate(0)(caller, toldMs, attempts),
  });
  const refused = callers.filter(wasRefused);
  const waiting = refused.filter((caller) => !repeats(caller));
  assert.ok(returnsServed(waiting) >= 0.97);
  const meanDelayMs = (group: readonly ReturningCaller[]) => {
    const served = group.filter(({ servedAt }) => servedAt !== undefined);
    return served.reduce(
      (sum, { firstAt, servedAt = 0 }) => sum + servedAt - firstAt,
      0,
    ) / served.length;
  };
  const repeating = refused.filter(repeats);
  const [repeatingMs, waitingMs] = [repeating, waiting].map(meanDelayMs);
  assert.ok(
    (repeatingMs ?? 0) >= (waitingMs ?? 0) * 0.95,
    `${repeatingMs} ms, waiting ${waitingMs} ms`,
  );
});

for (const plannerLostAt of [3000, 5000, 7000]) {
  test(`callers whose planner died at ${plannerLostAt} ms are served, few of them after a third refusal`, () => {
    const { callers } = burst({
      plannerLostAt,
      returning: (_caller, toldMs, attempts) =>
        attempts < 5 ? toldMs : undefined,
    });
    const refusals = callers.map(({ refusedAt }) => refusedAt.length);
    assert.ok(Math.max(...refusals) <= 3);
    // The new planner has no places for those that it refuses without one.
    const thrice = refusals.filter((count) => count === 3).length;
    assert.ok(thrice <= callers.length * 0.01, `${thrice}`);
    assert.ok(callers.every(({ servedAt }) => servedAt !== undefined));
  });
}
