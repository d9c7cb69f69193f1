/** The fleet's retry budget holds as the sum of what each host keeps to. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
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
      const hosts = Array.from(
        { length: 9 },
        () => new RetryBudget(RULE, -RULE.windowMs),
      );
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
  const budget = new RetryBudget(
    { windowMs: 100, ratio: 0, extra: 1.25 },
    -100,
  );
  assert.equal(budget.take("a", 1, 0), true);
  assert.equal(budget.take("a", 1, 0), false);
  assert.equal(budget.take("b", 1, 0), true);
  assert.equal(budget.take("a", 1, 101), true);
});

/** Hosts that keep to the budget, whose processes start anew. */
class BudgetFleet {
  readonly #hosts: RetryBudget[];
  readonly #requests: number[] = [];
  readonly #extras: number[] = [];
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

  /** A request comes to a host, with so many retries wanted for it. */
  play(host: number, retries: number, knownHosts: number): void {
    this.#hosts[host]?.noteRequest("s", this.now);
    this.#requests.push(this.now);
    for (let count = 0; count < retries; count++) {
      const isTaken = this.#hosts[host]?.take("s", knownHosts, this.now);
      if (isTaken) this.#extras.push(this.now);
    }
  }

  /** How many extra sends the last window has over what is allowed. */
  over(): number {
    const within = (times: number[]) =>
      times.filter((time) => time > this.now - RULE.windowMs).length;
    const allowed = RULE.ratio * within(this.#requests) + RULE.extra;
    return within(this.#extras) - allowed;
  }
}

test("processes that start anew don't get the allowance a second time", () => {
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
          fleet.play(host, retries, 9);
          assert.ok(fleet.over() <= 0, `${fleet.over()} over at ${fleet.now}`);
        }
      },
    ),
    { seed: 20261202, numRuns: 40 },
  );
});

test("halls that are cut off for long keep to their parts of the allowance", () => {
  const entries = Array.from({ length: 9 }, (_, at) => ({
    id: `h${at}`,
    address: `10.0.0.${at}:1`,
    hall: `hall-${at % 3}`,
  }));
  const directories = entries.map((one) => {
    const directory = new HostDirectory(one, []);
    directory.learn(entries, 0);
    return directory;
  });
  // Cut off, only the hosts of a hall still name each other.
  const cutForMs = 600_000;
  for (let now = 1000; now <= cutForMs; now += 1000) {
    for (const [at, directory] of directories.entries()) {
      directory.learn(entries.filter((_, to) => to % 3 === at % 3), now);
    }
  }
  const fleet = new BudgetFleet(9);
  fleet.now = cutForMs;
  for (let round = 0; round < 40; round++) {
    for (const [at, directory] of directories.entries()) {
      fleet.play(at, 3, directory.count);
    }
    fleet.now += 100;
  }
  assert.ok(fleet.over() <= 0, `${fleet.over()} over`);
});
