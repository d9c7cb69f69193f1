/**
 * Guards against a bound on the sum of responses that lets one address, which
 * sends long responses or never ends them, delay or fail the calls to others.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type HeldResponse,
  ResponseBudget,
} from "../../../src/gateway/memory/response_budget.ts";

const CAPACITY = 100;
const SEED = 91;

/** A budget whose broken-off responses are listed by name. */
function createRig(): {
  readonly brokenOff: string[];
  begin(address: string, name: string): HeldResponse;
} {
  const budget = new ResponseBudget(CAPACITY);
  const brokenOff: string[] = [];
  return {
    brokenOff,
    begin: (address, name) =>
      budget.begin(address, () => void brokenOff.push(name)),
  };
}

test("a response finds room beside an address that has filled the bound", () => {
  const { begin, brokenOff } = createRig();
  begin("faulty", "endless").hold(CAPACITY);
  begin("store", "listing").hold(1);
  assert.deepEqual(brokenOff, ["endless"]);
});

test("many responses of one address don't break off a longer one of another", () => {
  const { begin, brokenOff } = createRig();
  const faulty = Array.from(
    { length: 16 },
    (_, at) => begin("faulty", `faulty-${at}`),
  );
  const listing = begin("store", "listing");
  listing.hold(40);
  for (const response of faulty) response.hold(10);
  listing.hold(45);
  assert.equal(brokenOff.includes("listing"), false);
  assert.equal(brokenOff.length, 16 - 5);
});

test("responses of all other hosts go on beside one that never ends its own", () => {
  const { begin, brokenOff } = createRig();
  const endless = begin("faulty", "endless");
  const others = Array.from(
    { length: 40 },
    (_, at) => begin(`host-${at}`, `host-${at}`),
  );
  endless.hold(50);
  for (const other of others) other.hold(2);
  assert.deepEqual(brokenOff, ["endless"]);
});

test("of one address the longest response is broken off", () => {
  const { begin, brokenOff } = createRig();
  const long = begin("store", "endless page");
  const listing = begin("store", "listing");
  long.hold(80);
  listing.hold(20);
  listing.hold(21);
  assert.deepEqual(brokenOff, ["endless page"]);
});

test("of responses that are as long, the one that began first is broken off", () => {
  const { begin, brokenOff } = createRig();
  begin("host-1", "first").hold(CAPACITY / 2);
  begin("host-2", "second").hold(CAPACITY / 2);
  begin("host-3", "third").hold(1);
  assert.deepEqual(brokenOff, ["first"]);
});

test("a response that grows beyond all others is broken off itself", () => {
  const { begin, brokenOff } = createRig();
  begin("host-1", "short").hold(40);
  const growing = begin("host-2", "growing");
  growing.hold(60);
  growing.hold(61);
  assert.deepEqual(brokenOff, ["growing"]);
  growing.hold(1000);
  assert.deepEqual(brokenOff, ["growing"]);
});

test("a response that has ended leaves its room and isn't broken off", () => {
  const { begin, brokenOff } = createRig();
  const ended = begin("host-1", "ended");
  ended.hold(CAPACITY);
  ended.release();
  ended.release();
  begin("host-1", "next").hold(CAPACITY);
  assert.deepEqual(brokenOff, []);
});

test("a response that is released as it is broken off leaves its room once", () => {
  const budget = new ResponseBudget(CAPACITY);
  const broken: HeldResponse = budget.begin("a", () => broken.release());
  broken.hold(CAPACITY);
  budget.begin("b", () => assert.fail("It has room")).hold(CAPACITY);
});

/** A response that grows to a length; it ends once it has been broken off. */
const GROWTH = fc.record({
  at: fc.nat(11),
  bytes: fc.integer({ min: 1, max: CAPACITY + 20 }),
});
const ADDRESSES = 4;

test("the sum is within the bound, and only an address that holds most loses a response", () => {
  fc.assert(
    fc.property(fc.array(GROWTH, { maxLength: 60 }), (growths) => {
      const budget = new ResponseBudget(CAPACITY);
      const held = Array.from({ length: 12 }, () => 0);
      const responses = held.map((_, at) =>
        budget.begin(`host-${at % ADDRESSES}`, () => {
          const sums = sumsOf(held);
          assert.equal(sums[at % ADDRESSES], Math.max(...sums));
          held[at] = -1;
        })
      );
      for (const { at, bytes } of growths) {
        if (held[at] === -1) continue;
        held[at] = bytes;
        responses[at]?.hold(bytes);
        const sum = sumsOf(held).reduce((total, one) => total + one, 0);
        assert.ok(sum <= CAPACITY, `${sum} bytes`);
      }
    }),
    { seed: SEED },
  );
});

/** The bytes held of each address. */
function sumsOf(held: readonly number[]): number[] {
  const sums = Array.from({ length: ADDRESSES }, () => 0);
  for (const [at, bytes] of held.entries()) {
    sums[at % ADDRESSES] = (sums[at % ADDRESSES] ?? 0) + Math.max(0, bytes);
  }
  return sums;
}
