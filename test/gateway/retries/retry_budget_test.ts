/** The fleet's retry budget, enforced by each host for its own share. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import { RetryBudget } from "../../../src/gateway/retries/retry_budget.ts";

const RULE = { windowMs: 10_000, ratio: 0.2, extra: 58 };

test("over any window, all hosts together stay within the budget", () => {
  const action = fc.record({
    host: fc.nat(8),
    afterMs: fc.nat(60),
    retries: fc.nat(6),
  });
  fc.assert(
    fc.property(fc.array(action, { maxLength: 600 }), (actions) => {
      const hosts = Array.from(
        { length: 9 },
        () => new RetryBudget(RULE, -RULE.windowMs),
      );
      const requests: number[] = [];
      const grantedRetries: number[] = [];
      let now = 0;
      for (const { host, afterMs, retries } of actions) {
        now += afterMs;
        hosts[host]?.noteRequest("s", now);
        requests.push(now);
        for (let count = 0; count < retries; count++) {
          if (hosts[host]?.acquire("s", hosts.length, now)) {
            grantedRetries.push(now);
          }
        }
        const within = (times: number[]) =>
          times.filter((time) => time > now - RULE.windowMs).length;
        const allowed = RULE.ratio * within(requests) + RULE.extra;
        assert.ok(within(grantedRetries) <= allowed);
      }
    }),
    { seed: 20261202 },
  );
});

test("each service has its own budget", () => {
  const budget = new RetryBudget(
    { windowMs: 100, ratio: 0, extra: 1.25 },
    -100,
  );
  assert.equal(budget.acquire("a", 1, 0), true);
  assert.equal(budget.acquire("a", 1, 0), false);
  assert.equal(budget.acquire("b", 1, 0), true);
  assert.equal(budget.acquire("a", 1, 101), true);
});

/** Hosts that share the budget and whose processes may restart. */
class BudgetFleet {
  readonly #hosts: RetryBudget[];
  readonly #requests: number[] = [];
  readonly #grantedRetries: number[] = [];
  now = 0;

  constructor(size: number) {
    this.#hosts = Array.from(
      { length: size },
      () => new RetryBudget(RULE, -RULE.windowMs),
    );
  }

  restart(host: number): void {
    this.#hosts[host] = new RetryBudget(RULE, this.now);
  }

  /** Sends a request to a host and attempts retries for it. */
  simulate(host: number, retries: number, knownHosts: number): void {
    this.#hosts[host]?.noteRequest("s", this.now);
    this.#requests.push(this.now);
    for (let count = 0; count < retries; count++) {
      const isAcquired = this.#hosts[host]?.acquire("s", knownHosts, this.now);
      if (isAcquired) this.#grantedRetries.push(this.now);
    }
  }

  /** Retries in the last window beyond the limit. */
  excess(): number {
    const within = (times: number[]) =>
      times.filter((time) => time > this.now - RULE.windowMs).length;
    const allowed = RULE.ratio * within(this.#requests) + RULE.extra;
    return within(this.#grantedRetries) - allowed;
  }
}

test("restarted processes do not get the allowance a second time", () => {
  const action = fc.record({
    host: fc.nat(8),
    afterMs: fc.nat(60),
    retries: fc.nat(6),
    restarts: fc.integer({ min: 0, max: 20 }),
  });
  fc.assert(
    fc.property(
      fc.array(action, { minLength: 300, maxLength: 600 }),
      (actions) => {
        const fleet = new BudgetFleet(9);
        for (const { host, afterMs, retries, restarts } of actions) {
          fleet.now += afterMs;
          if (restarts === 0) fleet.restart(host);
          fleet.simulate(host, retries, 9);
          assert.ok(
            fleet.excess() <= 0,
            `${fleet.excess()} over at ${fleet.now}`,
          );
        }
      },
    ),
    { seed: 20261202, numRuns: 40 },
  );
});

test("halls that are isolated for long stay within their shares of the allowance", () => {
  const entries = Array.from({ length: 9 }, (_, at) => ({
    id: `h${at}`,
    address: `10.0.0.${at}:1`,
    hall: `hall-${at % 3}`,
  }));
  const directories = entries.map((entry) => {
    const directory = new HostDirectory(entry, []);
    directory.add(entries, 0);
    return directory;
  });
  // Isolated hosts receive announcements only from hosts of their own hall.
  const isolatedForMs = 600_000;
  for (let now = 1000; now <= isolatedForMs; now += 1000) {
    for (const [at, directory] of directories.entries()) {
      directory.add(entries.filter((_, to) => to % 3 === at % 3), now);
    }
  }
  const fleet = new BudgetFleet(9);
  fleet.now = isolatedForMs;
  for (let round = 0; round < 40; round++) {
    for (const [at, directory] of directories.entries()) {
      fleet.simulate(at, 3, directory.count);
    }
    fleet.now += 100;
  }
  assert.ok(fleet.excess() <= 0, `${fleet.excess()} over`);
});
