/**
 * Decisions at the arrival at a pool with too little memory. Guards against
 * refusals after a wait, idle memory and requests that are served too late.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  arrivalsAt,
  type LoadRequest,
  OBJECTIVE_MS,
  play,
  pool,
  seededRandom,
  type Served,
  summarize,
  utilization,
} from "./arrival_rig.ts";

const DECODES = 10;
/** Four requests of 250 tokens at a replica, for 2 s each. */
const EQUAL: LoadRequest = { tokens: 250, outputTokens: 75, runMs: 1880 };
const CAPACITY = DECODES * 4 / 2;

/** Requests of 50 to 500 tokens whose estimates are wrong by up to tenfold. */
function spreadRequests(): () => LoadRequest {
  const random = seededRandom(7);
  return () => {
    const runMs = 300 * 10 ** random();
    const outputTokens = Math.ceil(runMs / 25 * 10 ** (random() - 0.5));
    return { tokens: 50 * Math.ceil(10 ** random()), outputTokens, runMs };
  };
}

function assertPromptRefusals(all: readonly Served[]): void {
  const { maxRefusalWaitMs } = summarize(all);
  assert.ok(maxRefusalWaitMs < OBJECTIVE_MS / 8, `${maxRefusalWaitMs} ms`);
}

test("twice the memory asked for 4 s: serves on time or refuses at once, and uses all memory", () => {
  const all = play({
    arrivals: arrivalsAt(
      (now) => now > 2000 && now < 6000 ? CAPACITY * 2 : CAPACITY / 2,
      () => EQUAL,
    ),
    replicas: () => pool(DECODES),
    untilMs: 9000,
  });
  assertPromptRefusals(all);
  const { late, onTime } = summarize(all);
  const used = utilization(all, { from: 3000, until: 6000, decodes: DECODES });
  assert.ok(late <= 0.02, `late ${late}`);
  assert.ok(onTime >= 0.6, `on time ${onTime}`);
  assert.ok(used >= 0.95, `used ${used}`);
});

test("lengths spread tenfold with wrong estimates: refuses at once and uses most memory", () => {
  const all = play({
    arrivals: arrivalsAt(() => 130, spreadRequests()),
    replicas: () => pool(DECODES),
    untilMs: 12_000,
  });
  assertPromptRefusals(all.filter(({ arrivedAt }) => arrivedAt > 2000));
  const { late } = summarize(all);
  const used = utilization(all, {
    from: 3000,
    until: 12_000,
    decodes: DECODES,
  });
  assert.ok(late <= 0.1, `late ${late}`);
  assert.ok(used >= 0.85, `used ${used}`);
});

test("a quarter of the memory gone in the middle: refuses at once what arrives then", () => {
  const lostAt = 4000;
  const all = play({
    arrivals: arrivalsAt(() => CAPACITY, () => EQUAL),
    replicas: (now) => pool(now < lostAt ? DECODES : DECODES * 3 / 4 | 0),
    untilMs: 9000,
  });
  assertPromptRefusals(all.filter(({ arrivedAt }) => arrivedAt > lostAt));
  const { late } = summarize(all);
  assert.ok(late <= 0.05, `late ${late}`);
});

test("callers that retry: late retries don't hold up requests that can be on time", () => {
  const all = play({
    arrivals: arrivalsAt(() => CAPACITY * 1.6, () => EQUAL),
    replicas: () => pool(DECODES),
    untilMs: 14_000,
    hasRetries: true,
  });
  assertPromptRefusals(all);
  const { late, onTime } = summarize(all);
  assert.ok(late <= 0.02, `late ${late}`);
  // Of 2.2 attempts for each request that the pool can serve.
  assert.ok(onTime >= 0.4, `on time ${onTime}`);
});

test("a trickle after a burst: serves all of it", () => {
  const all = play({
    arrivals: arrivalsAt(
      (now) => now < 2000 ? CAPACITY * 3 : CAPACITY / 4,
      () => EQUAL,
    ),
    replicas: () => pool(DECODES),
    untilMs: 9000,
  });
  assertPromptRefusals(all);
  const trickle = all.filter(({ arrivedAt }) =>
    arrivedAt > 4000 && arrivedAt < 8000
  );
  assert.equal(summarize(trickle).onTime, 1);
});

test("one huge request among small ones is served within its patience", () => {
  const small = { tokens: 50, outputTokens: 75, runMs: 1880 };
  const huge = { tokens: 700, outputTokens: 75, runMs: 1880 };
  const all = play({
    arrivals: arrivalsAt(
      () => DECODES * 20 / 2 * 1.2,
      (index) => index % 200 === 199 ? huge : small,
    ),
    replicas: () => pool(DECODES),
    untilMs: 12_000,
  });
  const largest = all.filter(({ tokens, arrivedAt }) =>
    tokens === huge.tokens && arrivedAt < 9000
  );
  const servedShare = (some: readonly Served[]) =>
    some.filter(({ grantedAt }) => grantedAt !== undefined).length /
    some.length;
  assert.ok(largest.length >= 4);
  assert.ok(
    servedShare(largest) >= servedShare(all) / 2,
    `${servedShare(largest)} of ${servedShare(all)}`,
  );
});

/** How often the requests of a priority were served. */
function servedShare(all: readonly Served[], priority: number): number {
  const some = all.filter((served) => served.priority === priority);
  return some.filter(({ grantedAt }) => grantedAt !== undefined).length /
    some.length;
}

for (
  const { name, urgentRate, routineRate } of [
    {
      name: "the urgent kind bursting over the routine one",
      urgentRate: 2,
      routineRate: 0.1,
    },
    {
      name: "the routine kind bursting over the urgent one",
      urgentRate: 0.3,
      routineRate: 2,
    },
  ]
) {
  test(`${name}: serves the urgent one more often, and the routine one at least a quarter as often as all`, () => {
    const urgent = arrivalsAt(
      () => CAPACITY * urgentRate,
      () => ({ ...EQUAL, priority: 1 }),
    );
    const routine = arrivalsAt(
      () => CAPACITY * routineRate,
      () => ({ ...EQUAL, priority: 2 }),
    );
    const all = play({
      arrivals: (now, stepMs) => [
        ...urgent(now, stepMs),
        ...routine(now, stepMs),
      ],
      replicas: () => pool(DECODES),
      untilMs: 14_000,
    }).filter(({ arrivedAt }) => arrivedAt > 2000 && arrivedAt < 13_000);
    assertPromptRefusals(all);
    const ofAll = all.filter(({ grantedAt }) => grantedAt !== undefined)
      .length / all.length;
    const shares = [servedShare(all, 1), servedShare(all, 2)];
    const [ofUrgent = 0, ofRoutine = 0] = shares;
    const text = `${ofUrgent} and ${ofRoutine} of ${ofAll}`;
    assert.ok(ofUrgent >= ofRoutine, text);
    assert.ok(ofRoutine >= ofAll / 4, text);
  });
}
