/**
 * Places that are booked for refused callers. Guards against callers who all
 * come back at once, find no room again, or gain by repeating early.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { BookedReturns } from "../../../src/gateway/planning/booked_returns.ts";
import type { BookingRequest } from "../../../src/gateway/planning/bookings.ts";

const RUNS = { seed: 58, numRuns: 200 };

function bookedReturns() {
  const counts = new Map<string, number>();
  const events: object[] = [];
  const bookings = new BookedReturns({
    isEnabled: () => true,
    kindOf: () => "pool",
    metrics: {
      count: (name, by = 1) => counts.set(name, (counts.get(name) ?? 0) + by),
    },
    events: { note: (_kind, fields) => events.push(fields ?? {}) },
  });
  return { bookings, counts, events };
}

/** A request of cost 1 at a service that gets 0.1 free per millisecond. */
function refused(
  key: string,
  overrides: Partial<BookingRequest> = {},
): BookingRequest {
  return {
    key,
    service: "s",
    priority: 1,
    cost: 1,
    costPerMs: 0.1,
    earliestAt: 0,
    latestAt: 4000,
    deadlineAt: 12_000,
    ...overrides,
  };
}

/** Books for a key that must get a place. */
function placeOf(bookings: BookedReturns, request: BookingRequest, now = 0) {
  const beginsAt = bookings.book(request, now);
  assert.ok(beginsAt !== undefined);
  return beginsAt;
}

test("spreads a thousand requests refused at one moment over the share of the room that is booked", () => {
  const { bookings } = bookedReturns();
  const places = Array.from(
    { length: 1000 },
    (_, index) => bookings.book(refused(`k${index}`), 0),
  ).filter((beginsAt) => beginsAt !== undefined).sort((a, b) => a - b);
  assert.ok(places.length >= 115 && places.length <= 125, `${places.length}`);
  for (const [index, beginsAt] of places.entries()) {
    const later = places[index + 10];
    assert.ok(later === undefined || later - beginsAt >= 250);
  }
});

test("leaves room for more urgent requests that are refused later", () => {
  const { bookings } = bookedReturns();
  placeOf(bookings, refused("urgent", { priority: 0 }));
  const book = (name: string, priority: number) =>
    Array.from(
      { length: 300 },
      (_, index) => bookings.book(refused(`${name}${index}`, { priority }), 0),
    ).filter((beginsAt) => beginsAt !== undefined).length;
  const lessUrgent = book("less", 2);
  const moreUrgent = book("more", 0);
  assert.ok(lessUrgent <= 65, `${lessUrgent} less urgent`);
  assert.ok(moreUrgent >= 55, `${moreUrgent} more urgent`);
});

test("books no place after the latest time, nor one before the service is free", () => {
  const { bookings } = bookedReturns();
  const late = refused("a", { earliestAt: 5000 });
  assert.equal(bookings.book(late, 0), undefined);
  const beginsAt = placeOf(bookings, refused("b", { earliestAt: 3990 }));
  assert.ok(beginsAt >= 3990 && beginsAt <= 4000);
});

test("gives a place to its caller once, from just before its time to 500 ms after it", () => {
  for (const lateMs of [-40, 0, 200, 500]) {
    const { bookings, counts } = bookedReturns();
    const beginsAt = placeOf(bookings, refused("a"));
    const now = beginsAt + lateMs;
    const request = { key: "a", service: "s", deadlineMs: 12_000 - now };
    assert.deepEqual(bookings.claim(request, now), {
      type: "claimed",
      beginsAt,
    });
    assert.equal(bookings.claim(request, now).type, "none");
    assert.equal(counts.get("returns_claimed_pool"), 1);
  }
});

test("tells a caller that repeats at once the rest of its time and keeps its place", () => {
  const { bookings } = bookedReturns();
  const beginsAt = placeOf(bookings, refused("a"));
  const claimAt = (now: number) =>
    bookings.claim({ key: "a", service: "s", deadlineMs: 12_000 - now }, now);
  for (const now of [20, 500, 1000, 3000]) {
    const retryAfterMs = beginsAt - now;
    assert.deepEqual(claimAt(now), { type: "early", retryAfterMs });
  }
  assert.equal(claimAt(beginsAt).type, "claimed");
});

test("doesn't mistake another caller of the same request for the one that was refused", () => {
  const { bookings } = bookedReturns();
  placeOf(bookings, refused("a"));
  const other = { key: "a", service: "s", deadlineMs: 12_000 };
  assert.equal(bookings.claim(other, 300).type, "none");
  const begun = { ...other, deadlineMs: 11_700, begun: true };
  assert.equal(bookings.claim(begun, 300).type, "none");
  const same = { ...other, deadlineMs: 11_700 };
  assert.equal(bookings.claim(same, 300).type, "early");
});

test("a place whose time passed while the planner was suspended has lapsed and is not counted", () => {
  const { bookings } = bookedReturns();
  const beginsAt = placeOf(bookings, refused("a"));
  assert.equal(bookings.costUntil("s", 4000, 0), 1);
  const now = beginsAt + 6000;
  assert.equal(bookings.costUntil("s", now + 4000, now), 0);
  const request = { key: "a", service: "s", deadlineMs: 12_000 - now };
  assert.equal(bookings.claim(request, now).type, "lapsed");
  const later = 40_000;
  const next = refused("b", { earliestAt: later, latestAt: later + 4000 });
  assert.ok(placeOf(bookings, next, later) >= later);
  assert.equal(bookings.size, 1);
});

test("forgets the places of callers that never come back", () => {
  const { bookings } = bookedReturns();
  for (let now = 0; now < 60_000; now += 20) {
    const times = { earliestAt: now, latestAt: now + 4000 };
    bookings.book(refused(`k${now}`, times), now);
  }
  assert.ok(bookings.size <= 390, `${bookings.size}`);
  const booked = bookings.costUntil("s", 70_000, 60_000);
  assert.ok(booked <= 125, `${booked}`);
});

test("logs a refusal of a caller that came at its time, with both times", () => {
  const { bookings, events, counts } = bookedReturns();
  const request = { id: "r", service: "s" };
  const claim = { type: "claimed" as const, beginsAt: 1000 };
  bookings.noteRefusal({ claim, request }, 2000, 1200);
  bookings.noteRefusal({ claim: { type: "none" }, request }, 2000, 1200);
  assert.deepEqual(events, [{
    request: "r",
    service: "s",
    booked_ms_ago: 200,
    retry_after_ms: 2000,
  }]);
  assert.equal(counts.get("returns_refused_pool"), 1);
});

test("gives out no more than its share of the room in any second, for any requests", () => {
  const request = fc.record({
    at: fc.integer({ min: 0, max: 5000 }),
    cost: fc.integer({ min: 1, max: 20 }),
    priority: fc.integer({ min: 0, max: 2 }),
    windowMs: fc.integer({ min: 0, max: 5000 }),
  });
  fc.assert(
    fc.property(fc.array(request, { maxLength: 200 }), (requests) => {
      const { bookings } = bookedReturns();
      const places: { beginsAt: number; cost: number }[] = [];
      const inOrder = requests.toSorted((a, b) => a.at - b.at);
      for (
        const [index, { at, cost, priority, windowMs }] of inOrder.entries()
      ) {
        const latestAt = at + windowMs;
        const booking = { cost, priority, earliestAt: at, latestAt };
        const beginsAt = bookings.book(refused(`k${index}`, booking), at);
        if (beginsAt === undefined) continue;
        assert.ok(beginsAt >= at && beginsAt <= latestAt);
        places.push({ beginsAt, cost });
      }
      for (const { beginsAt: from } of places) {
        const inSecond = places.filter(({ beginsAt }) =>
          beginsAt >= from && beginsAt < from + 1000
        );
        const sum = inSecond.reduce((total, { cost }) => total + cost, 0);
        // The last place may extend beyond the second, the first one before it.
        assert.ok(sum <= 0.03 * 1050 + 40, `${sum}`);
      }
    }),
    RUNS,
  );
});
