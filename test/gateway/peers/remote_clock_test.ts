/** Tests that converted times of a remote clock are never too late. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { RemoteClock } from "../../../src/gateway/peers/remote_clock.ts";
import "../../fixed_seed.ts";

test("a converted time is too early by no more than the echoed message's delay", () => {
  const clock = new RemoteClock();
  assert.equal(clock.toLocal(5000, 0), undefined);
  // The remote clock is 4,000 ms ahead, and the message took 3 ms.
  clock.note({ sentAt: 100, heardAt: 4103 }, 106);
  assert.equal(clock.toLocal(5000, 106), 997);
});

test("the conversion does not depend on how long a message was buffered", () => {
  const clock = new RemoteClock();
  clock.note({ sentAt: 100, heardAt: 100 }, 101);
  const readAt = 4101;
  const converted = clock.toLocal(200, readAt) ?? Infinity;
  assert.ok(converted <= 200);
  assert.ok(converted > 195);
});

const Delay = fc.integer({ min: 0, max: 5000 });

test("delays, idle intervals and drift never make a converted time too late", () => {
  const world = fc.record({
    ahead: fc.integer({ min: -1e6, max: 1e6 }),
    /** In ppm. */
    drift: fc.integer({ min: -200, max: 200 }),
    echoes: fc.array(
      fc.record({ interval: Delay, outbound: Delay, inbound: Delay }),
      { minLength: 1, maxLength: 8 },
    ),
    moment: Delay,
    delay: Delay,
  });
  fc.assert(
    fc.property(world, ({ ahead, drift, echoes, moment, delay }) => {
      const remote = (now: number) => now * (1 + drift / 1e6) + ahead;
      const clock = new RemoteClock();
      let now = 0;
      for (const echo of echoes) {
        const sentAt = now + echo.interval;
        const heardAt = remote(sentAt + echo.outbound);
        now = sentAt + echo.outbound + echo.inbound;
        clock.note({ sentAt, heardAt }, now);
      }
      const sentAt = now + moment;
      const converted = clock.toLocal(remote(sentAt), sentAt + delay);
      assert.ok(converted !== undefined && converted <= sentAt + 1e-6);
    }),
  );
});
