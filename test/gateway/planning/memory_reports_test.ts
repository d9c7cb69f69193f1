/** Tests which replicas report their memory to the planner, and what it learns. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { runMemoryReports } from "../../../src/gateway/planning/memory_reports.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";

const MEMORY = 1000;

/** Plays three rounds; replicas respond with what they use, or not at all. */
async function play(
  replicas: Readonly<Record<string, { reserved: number; used?: number }>>,
  isEnabled = true,
) {
  const time = new VirtualTime();
  const asked: string[] = [];
  const rounds: (readonly number[])[] = [];
  const context = {
    clock: time.clock,
    stop: {},
    replicas: {
      get: (incarnation: string) => ({ entry: { incarnation } }),
    },
    gate: { obstacle: () => undefined, observeCall: () => undefined },
    paths: { monitor: { isLost: (id: string) => id === "lost" } },
    pool: {
      sendControlCall: ({ incarnation }: { incarnation: string }) => {
        asked.push(incarnation);
        const body = String(replicas[incarnation]?.used ?? "");
        return Promise.resolve(body === "" ? undefined : { status: 200, body });
      },
    },
    dialect: {
      report: {},
      readAnswer: () => ({ misdirected: false }),
      readReport: (body: string) => ({ usedTokens: Number(body) }),
    },
  } as unknown as GatewayContext;
  void runMemoryReports({
    context,
    isEnabled: () => isEnabled,
    services: () => ["s"],
    capacityOf: () => MEMORY,
    reservationsOf: () =>
      Object.entries(replicas).map(([incarnation, { reserved }]) => ({
        incarnation,
        tokens: reserved,
      })),
    onRound: () => undefined,
    onReports: (_service, usedShares) => rounds.push(usedShares),
  });
  await time.runTo(3500);
  return { asked, rounds };
}

test("replicas with much reserved memory report what they use", async () => {
  const { asked, rounds } = await play({
    full: { reserved: 950, used: 990 },
    idle: { reserved: 100, used: 90 },
    busy: { reserved: 700, used: 650 },
  });
  assert.deepEqual(asked.slice(0, 2), ["full", "busy"]);
  assert.deepEqual(rounds, [[0.99, 0.65], [0.99, 0.65], [0.99, 0.65]]);
});

test("replicas that are silent or not reached aren't counted", async () => {
  const { asked, rounds } = await play({
    silent: { reserved: 900 },
    lost: { reserved: 900, used: 900 },
  });
  assert.deepEqual(asked, ["silent", "silent", "silent"]);
  assert.deepEqual(rounds, [[], [], []]);
});

test("at most eight replicas of a service are asked in a round", async () => {
  const replicas = Object.fromEntries(
    Array.from(
      { length: 20 },
      (_, at) => [`r${at}`, { reserved: 700 + at, used: 700 }],
    ),
  );
  const { asked } = await play(replicas);
  assert.equal(asked.length, 24);
  assert.equal(asked[0], "r19");
});

test("nothing is asked while reports aren't used", async () => {
  const { asked, rounds } = await play({ a: { reserved: 900 } }, false);
  assert.deepEqual([asked, rounds], [[], []]);
});
