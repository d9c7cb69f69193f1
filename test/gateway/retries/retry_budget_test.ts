/** The fleet's retry budget holds as the sum of what each host keeps to. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { RetryBudget } from "../../../src/gateway/retries/retry_budget.ts";

const RULE = { windowMs: 10_000, ratio: 0.2, extra: 58 };

test("over any window, all hosts together keep within the budget", () => {
  const action = fc.record({
    host: fc.nat(8),
    afterMs: fc.nat(60),
    retries: fc.nat(6),
  });
  fc.assert(
    fc.property(fc.array(action, { maxLength: 600 }), (actions) => {
      const hosts = Array.from({ length: 9 }, () => new RetryBudget(RULE));
      const requests: number[] = [];
      const extras: number[] = [];
      let now = 0;
      for (const { host, afterMs, retries } of actions) {
        now += afterMs;
        hosts[host]?.noteRequest("s", now);
        requests.push(now);
        for (let count = 0; count < retries; count++) {
          if (hosts[host]?.take("s", hosts.length, now)) extras.push(now);
        }
        const within = (times: number[]) =>
          times.filter((time) => time > now - RULE.windowMs).length;
        const allowed = RULE.ratio * within(requests) + RULE.extra;
        assert.ok(within(extras) <= allowed);
      }
    }),
    { seed: 20261202 },
  );
});

test("services don't share a budget", () => {
  const budget = new RetryBudget({ windowMs: 100, ratio: 0, extra: 1.25 });
  assert.equal(budget.take("a", 1, 0), true);
  assert.equal(budget.take("a", 1, 0), false);
  assert.equal(budget.take("b", 1, 0), true);
  assert.equal(budget.take("a", 1, 101), true);
});
