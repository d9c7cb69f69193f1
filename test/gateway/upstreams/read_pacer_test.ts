/**
 * Guards against responses without end that keep the event loop busy: the
 * requests of other callers waited for seconds.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReadPacer } from "../../../src/gateway/upstreams/read_pacer.ts";

const READ_MS = 5;
const READERS = 100;
const RUN_MS = 10_000;

/** The time that each of some readers gets who never end. */
function readWithoutEnd(pacer: ReadPacer, readers: number): number[] {
  const readMs = Array.from({ length: readers }, () => 0);
  let now = 0;
  const read = (reader: number) => {
    readMs[reader] = (readMs[reader] ?? 0) + READ_MS;
    now += READ_MS;
    if (pacer.charge(READ_MS, now)) pacer.wait(() => going.push(reader));
    else going.push(reader);
  };
  const going = Array.from(readMs.keys());
  while (now < RUN_MS) {
    for (const reader of going.splice(0)) read(reader);
    now += pacer.delayMs(now) ?? 0;
    pacer.resumeNext(now);
  }
  return readMs;
}

test("readers without end leave most of the time to others", () => {
  for (const readers of [1, READERS]) {
    const readMs = readWithoutEnd(new ReadPacer(), readers);
    const sum = readMs.reduce((total, ms) => total + ms, 0);
    const firstMs = readers * READ_MS;
    assert.ok(sum < firstMs + RUN_MS * 0.25, `${sum} ms`);
    assert.ok(sum > RUN_MS * 0.15, `${sum} ms`);
  }
});

test("readers that wait go on in turn", () => {
  const readMs = readWithoutEnd(new ReadPacer(), READERS);
  const [least, most] = [Math.min(...readMs), Math.max(...readMs)];
  assert.ok(most - least <= READ_MS, `${least} to ${most} ms`);
});

/** Plays turns of a pacer until `isDone`; returns how many there were. */
function playTurns(pacer: ReadPacer, isDone: () => boolean): number {
  for (let turns = 0; turns < 100 * READERS; turns++) {
    if (isDone()) return turns;
    pacer.resumeNext(0);
  }
  return assert.fail("A reader waits without end");
}

/** A reader of a response that takes `reads` more reads. */
function startReader(
  pacer: ReadPacer,
  { spentMs, reads }: { readonly spentMs: number; readonly reads: number },
): { readonly isDone: () => boolean } {
  let taken = 0;
  const isDone = () => taken >= reads;
  const wait = () => {
    if (isDone()) return;
    pacer.wait(() => {
      taken += 1;
      wait();
    }, spentMs + taken * READ_MS);
  };
  wait();
  return { isDone };
}

test("a listing doesn't wait for the turns of all responses that never end", () => {
  const pacer = new ReadPacer();
  for (let count = 0; count < READERS; count++) {
    startReader(pacer, { spentMs: 1000, reads: Infinity });
  }
  const listing = startReader(pacer, { spentMs: 0, reads: 8 });
  assert.ok(playTurns(pacer, listing.isDone) <= 2 * 8);
});

test("a long response goes on while short ones begin without end", () => {
  const pacer = new ReadPacer();
  const long = startReader(pacer, { spentMs: 1000, reads: 8 });
  const begin = () => {
    pacer.wait(begin);
  };
  for (let count = 0; count < READERS; count++) begin();
  assert.ok(playTurns(pacer, long.isDone) <= 2 * 8 * (READERS + 1));
});

test("a long read after a pause is not delayed", () => {
  const pacer = new ReadPacer();
  assert.equal(pacer.charge(READ_MS, 1000), false);
  assert.equal(pacer.delayMs(1000), undefined);
});

test("a reader that has been removed is not resumed", () => {
  const pacer = new ReadPacer();
  pacer.charge(1000, 0);
  const remove = pacer.wait(() => assert.fail("It was resumed"));
  remove();
  assert.equal(pacer.delayMs(10_000), undefined);
  pacer.resumeNext(10_000);
});

test("a read during which the process was suspended delays others for a second at most", () => {
  const pacer = new ReadPacer();
  pacer.charge(60_000, 60_000);
  pacer.wait(() => undefined);
  assert.ok((pacer.delayMs(60_000) ?? 0) <= 1000);
});
