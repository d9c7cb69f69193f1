/** Tests what operators are told of requests held back within a quota. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { QuotaHolds } from "../../../src/gateway/customers/quota_holds.ts";
import type { EventFields } from "../../../src/gateway/observe/event_log.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { HoldCause } from "../../../src/gateway/quota/request_order.ts";

function start() {
  const events: { name: string; fields: EventFields | undefined }[] = [];
  const metrics = new Metrics();
  const note = (name: string, fields?: EventFields) =>
    void events.push({ name, fields });
  const holds = new QuotaHolds({ events: { note }, metrics });
  return { events, metrics, holds };
}

const hold = { customer: "alpha", units: 10, priority: 2 };

test("a hold is one event, and another when it has ended", () => {
  const { events, metrics, holds } = start();
  for (let now = 0; now < 5000; now += 100) {
    holds.note({ ...hold, cause: HoldCause.urgent }, now);
    holds.expire(now);
  }
  holds.expire(6899);
  assert.deepEqual(events, [
    { name: "quotaHeld", fields: { ...hold, cause: "urgent" } },
  ]);
  holds.expire(6900);
  assert.deepEqual(events[1], {
    name: "quotaReleased",
    fields: { customer: "alpha", held_ms: 4900, requests: 50, units: 500 },
  });
  assert.equal(metrics.counterValue("quota_held_for_urgent"), 50);
});

test("events are limited to a number of customers, counters are not", () => {
  const { events, metrics, holds } = start();
  for (let index = 0; index < 1000; index++) {
    const customer = `c${index}`;
    holds.note({ ...hold, customer, cause: HoldCause.large }, index);
  }
  assert.equal(events.length, 100);
  assert.equal(metrics.counterValue("quota_held_for_large"), 1000);
});
