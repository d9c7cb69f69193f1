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
