/**
 * The queue keeps its order from one pass to the next. Guards against an order
 * that differs from that of sorting all requests anew.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { schedulingOrder } from "../../../src/gateway/planning/order.ts";
import { RequestQueue } from "../../../src/gateway/planning/request_queue.ts";
import { planRequest } from "./planner_rig.ts";

const SERVICE_MS = 200;
const STEP_MS = 50;

const small = fc.nat({ max: 3 });
/** A request that arrives, or a change of one that waits. */
const change = fc.record({
  type: fc.constantFrom("add", "remove", "admit", "rank", "removeHost"),
  id: fc.nat({ max: 12 }),
  host: small,
  slackMs: fc.nat({ max: 6 }).map((steps) => steps * 100),
  priority: small,
  startTag: small,
  begun: fc.boolean(),
  isRetry: fc.boolean(),
});

test("a queue is sorted as if all its requests were sorted anew", () => {
  const passes = fc.array(fc.array(change, { maxLength: 6 }), {
    maxLength: 30,
  });
  fc.assert(fc.property(passes, (changes) => {
    const queue = new RequestQueue();
    for (const [pass, ofPass] of changes.entries()) {
      const now = pass * STEP_MS;
      for (const one of ofPass) apply(queue, one, now);
      const serviceMs = () => SERVICE_MS;
      const isOwed = ({ priority }: { priority: number }) => priority === 3;
      const order = queue.inOrder({ serviceMs, isOwed }, now);
      const anew = schedulingOrder([...queue.all()], now, serviceMs);
      const idsOf = (some: typeof order) => some.map(({ request }) => request);
      assert.deepEqual(idsOf(order), idsOf(anew));
    }
  }));
});

type Change = typeof change extends fc.Arbitrary<infer Value> ? Value : never;

function apply(
  queue: RequestQueue,
  { type, id: number, host, slackMs, priority, startTag, begun, isRetry }:
    Change,
  now: number,
): void {
  const id = String(number);
  const queued = [...queue.all()].find(({ request }) => request.id === id);
  switch (type) {
    case "add": {
      if (queued) return;
      const request = planRequest(id, { slackMs, priority, begun });
      const claim = { type: "none" } as const;
      return queue.add({ host: `h${host}`, request, isRetry, claim }, now);
    }
    case "remove":
      return queue.remove(id);
    case "removeHost":
      return queue.removeHost(`h${host}`);
    case "rank":
      if (!queued) return;
      queued.startTag = startTag;
      queued.priority = priority;
      return;
    case "admit":
      if (!queued) return;
      queued.admission = {
        isOnTime: isRetry,
        isPromoted: false,
        startsBy: now + slackMs,
        losses: 0,
      };
  }
}
