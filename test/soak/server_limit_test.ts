/**
 * A replica that limits its requests gets no more than it takes, of all hosts
 * together and by every way that leads to it.
 *
 * What was seen: a replica that took 1.4 requests a second was sent 19 within
 * 4 s, by hosts that had passed on its answers with that limit.
 * How it came about: three hosts went on using it as before, as much as the
 * replica beside it that named no limit.
 * The cause: a replica's slots were all that was known of what it takes; what
 * it said of a rate went past to the caller, was told to nobody, and no host
 * counted what the others sent.
 * What proved it: as many sends to it in the seconds after as before, at each
 * host that had the word, all placed by one planner.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import {
  LIMIT_SPAN_MS,
  mostAllowed,
  mostWithin,
} from "../platform/rate_windows.ts";
import { CallKind } from "./callers.ts";
import { gaugeAt } from "./fleet.ts";
import { callFor, oneOfEachRole, type Stage, withFleet } from "./stage.ts";

const PER_SECOND = 1.4;
/** All hosts have the word so long after a replica named its limit. */
const TOLD_MS = 1000;
/** For so long the replica has its limit. */
const LIMITED_MS = 10_000;
/** What a replica got before its limit has left the window by then. */
const SETTLED_MS = 4500;
const WARM_MS = 1500;
const ALL_KINDS = [CallKind.safe, CallKind.stream, CallKind.resumable];

/** By the clock of the test. */
type Span = { readonly from: number; readonly to: number };

function arrivalsAt(
  { world }: Stage,
  replica: string,
  { from, to }: Span,
): number[] {
  return world.arrivals
    .filter((one) => one.replica === replica)
    .map((one) => one.atMs)
    .filter((atMs) => atMs >= from && atMs < to);
}

/** The replica gets no more than its limit within the span. */
function checkWindows(stage: Stage, replica: string, span: Span): void {
  const most = mostWithin(arrivalsAt(stage, replica, span), LIMIT_SPAN_MS);
  const told = `${replica}: ${most} requests within ${LIMIT_SPAN_MS} ms`;
  assert.ok(most <= mostAllowed(PER_SECOND), told);
}

/** The part of its rate that is used once what came before has left. */
function usedShare(stage: Stage, replica: string, span: Span): number {
  const settled = { from: span.from + SETTLED_MS, to: span.to };
  const used = arrivalsAt(stage, replica, settled).length;
  return used / (PER_SECOND * (settled.to - settled.from) / 1000);
}

const ONE = "a replica that limits its requests gets no more of all hosts";
test(ONE, knownRed(ONE), async () => {
  await withFleet(async (stage) => {
    const limited = oneOfEachRole(stage);
    assert.equal(limited.length, 3);
    await callFor(stage, { kinds: ALL_KINDS, forMs: WARM_MS });
    for (const standin of limited) standin.limit = String(PER_SECOND);
    const from = performance.now() + TOLD_MS;
    const seen = await callFor(stage, { kinds: ALL_KINDS, forMs: LIMITED_MS });
    const to = performance.now();
    for (const { id } of limited) {
      checkWindows(stage, id, { from, to });
      // It is asked, so it can tell when its limit is over.
      assert.ok(usedShare(stage, id, { from, to }) > 0, id);
    }
    // The others have room for all.
    assert.deepEqual(seen.filter((one) => one.status !== 200), []);
    for (const standin of limited) standin.limit = undefined;
    await callFor(stage, { kinds: ALL_KINDS, forMs: LIMITED_MS / 3 });
    for (const host of stage.hosts) {
      assert.equal(await gaugeAt(host, "replicas_limited"), 0);
    }
  });
});

const ALL =
  "a service whose replicas all limit their requests is used up to that";
test(ALL, knownRed(ALL), async () => {
  await withFleet(async (stage) => {
    const plain = stage.world.ready()
      .filter(({ standin }) => standin.role === "plain");
    const kinds = [CallKind.safe];
    await callFor(stage, { kinds, forMs: WARM_MS });
    for (const { standin } of plain) standin.limit = String(PER_SECOND);
    const from = performance.now() + TOLD_MS;
    const seen = await callFor(stage, { kinds, forMs: LIMITED_MS });
    const to = performance.now();
    for (const { standin } of plain) {
      checkWindows(stage, standin.id, { from, to });
      const share = usedShare(stage, standin.id, { from, to });
      assert.ok(share > 0.5, `${standin.id}: ${share}`);
    }
    const other = seen.filter((one) => ![200, 503].includes(one.status));
    assert.deepEqual(other, []);
    assert.ok(seen.some((one) => one.status === 503));
  });
});
