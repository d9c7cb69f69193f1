/** Moments that another host tells are never taken for later than they were. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { RemoteClock } from "../../../src/gateway/peers/remote_clock.ts";
import "../../fixed_seed.ts";

test("a moment is known to within the time that the echoed message took", () => {
  const clock = new RemoteClock();
  assert.equal(clock.toLocal(5000, 0), undefined);
  // The other's clock is 4,000 ahead, and the message took 3.
  clock.note({ sentAt: 100, heardAt: 4103 }, 106);
  assert.equal(clock.toLocal(5000, 106), 997);
});

test("a word that lay in a buffer is as old as when it was written", () => {
  const clock = new RemoteClock();
  clock.note({ sentAt: 100, heardAt: 100 }, 101);
  const readAt = 4101;
  const heard = clock.toLocal(200, readAt) ?? Infinity;
  assert.ok(heard <= 200);
  assert.ok(heard > 195);
});

const Delay = fc.integer({ min: 0, max: 5000 });

test("no delay, pause or drift makes a moment seem later than it was", () => {
  const world = fc.record({
    ahead: fc.integer({ min: -1e6, max: 1e6 }),
    /** In millionths. */
    drift: fc.integer({ min: -200, max: 200 }),
    echoes: fc.array(
      fc.record({ pause: Delay, way: Delay, back: Delay }),
      { minLength: 1, maxLength: 8 },
    ),
    moment: Delay,
    way: Delay,
  });
  fc.assert(
    fc.property(world, ({ ahead, drift, echoes, moment, way }) => {
      const remote = (now: number) => now * (1 + drift / 1e6) + ahead;
      const clock = new RemoteClock();
      let now = 0;
      for (const echo of echoes) {
        const sentAt = now + echo.pause;
        const heardAt = remote(sentAt + echo.way);
        now = sentAt + echo.way + echo.back;
        clock.note({ sentAt, heardAt }, now);
      }
      const toldAt = now + moment;
      const seen = clock.toLocal(remote(toldAt), toldAt + way);
      assert.ok(seen !== undefined && seen <= toldAt + 1e-6);
    }),
  );
});
