/**
 * Guards against replicas that count as silent because this host's own event
 * loop was late, so that the streams they continue are withheld.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  StartChecks,
  type StartChecksOptions,
} from "../../../src/gateway/upstreams/start_check.ts";
import { testDialect } from "../dialect.ts";
import { replicaEntry } from "../replica_entry.ts";
import { StallingLoop } from "../stalling_loop.ts";

const BORN = 7;
const TIMEOUT_MS = 1000;
const ENTRY = replicaEntry("r1", { stage: "decode", born: BORN });

/** Checks whose calls have the given responses in turn, then none. */
function checksWith(
  loop: StallingLoop,
  answers: readonly Promise<unknown>[],
): StartChecks {
  const left = [...answers];
  const sendControlCall = (_: unknown, call: { timeoutMs: number }) =>
    Promise.race([
      left.shift() ?? new Promise(() => undefined),
      new Promise((resolve) => {
        loop.clock.after(call.timeoutMs, () => resolve(undefined));
      }),
    ]);
  return new StartChecks(
    {
      pool: { sendControlCall },
      clock: loop.clock,
      dialect: testDialect,
      gate: { observeCall: () => undefined },
      events: { note: () => undefined },
      metrics: { count: () => undefined },
    } as unknown as StartChecksOptions,
  );
}

test("a replica is asked again after this host stalled", async () => {
  const loop = new StallingLoop();
  const answer = {
    status: 200,
    headers: {},
    body: JSON.stringify({ born: BORN }),
  };
  const checks = checksWith(loop, [
    loop.receive(answer),
    Promise.resolve(answer),
  ]);
  const finding = checks.find(ENTRY, TIMEOUT_MS);
  await loop.stall();
  await loop.stall();
  assert.equal(await finding, "asListed");
});

test("a replica that stays silent counts as silent though this host stalls", async () => {
  const loop = new StallingLoop();
  let finding: string | undefined;
  void checksWith(loop, []).find(ENTRY, TIMEOUT_MS)
    .then((found) => finding = found);
  for (let stalls = 0; stalls < 30 && !finding; stalls++) await loop.stall();
  assert.equal(finding, "silent");
});

/** Responses of a replica that reports this start. */
function reportOf(born: number): Promise<unknown> {
  const body = JSON.stringify({ born });
  return Promise.resolve({ status: 200, headers: {}, body });
}

test("a replica that broke off a call may have ended until it confirms its start", async () => {
  const checks = checksWith(new StallingLoop(), [
    reportOf(BORN + 1),
    reportOf(BORN),
  ]);
  assert.equal(checks.mayHaveEnded(ENTRY), false);
  checks.noteEnd(ENTRY);
  assert.equal(await checks.findOnce(ENTRY), "other");
  assert.equal(checks.mayHaveEnded(ENTRY), true);
  assert.equal(await checks.findOnce(ENTRY), "asListed");
  assert.equal(checks.mayHaveEnded(ENTRY), false);
});

test("a start that was confirmed before the last broken call counts no more", async () => {
  const checks = checksWith(new StallingLoop(), [reportOf(BORN)]);
  checks.noteEnd(ENTRY);
  const finding = checks.findOnce(ENTRY);
  checks.noteEnd(ENTRY);
  assert.equal(await finding, "asListed");
  assert.equal(checks.mayHaveEnded(ENTRY), true);
});
