/** What a sleep of the machine does to times, timers and what expires. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../../src/gateway/clock.ts";
import { LimitTable } from "../../src/gateway/limits/limit_table.ts";
import { PathTable } from "../../src/gateway/paths/path_table.ts";
import { KeptSummaries } from "../../src/gateway/planning/kept_summaries.ts";
import { Ledger, type LedgerEntry } from "../../src/gateway/planning/ledger.ts";
import { MAX_SUMMARY_AGE_MS } from "../../src/gateway/planning/rate_summary.ts";
import { SummaryKeepers } from "../../src/gateway/planning/summary_keepers.ts";
import { Backoffs } from "../../src/gateway/replicas/backoffs.ts";
import { Replica } from "../../src/gateway/replicas/replica.ts";
import { RetryBudget } from "../../src/gateway/retries/retry_budget.ts";
import { VersionTable } from "../../src/gateway/streams/version_table.ts";
import { replicaEntry } from "./replica_entry.ts";
import { SleepingMachine } from "./sleeping_machine.ts";

const SLEEPS_MS = [500, 3000, 20_000];
/** After this time a clock that counts suspensions is trusted. */
const IN_STEP_MS = 65_000;

function start(options = {}): SleepingMachine {
  const machine = new SleepingMachine(options);
  machine.run(IN_STEP_MS);
  return machine;
}

test("the clock counts a sleep at once, whatever the wall clock does beside it", () => {
  for (const sleepMs of SLEEPS_MS) {
    for (const stepMs of [0, 5000, 3_600_000, -sleepMs / 2]) {
      const machine = start();
      machine.sleep(sleepMs, stepMs);
      assert.equal(machine.clock.now(), machine.trueNow);
      machine.suspensions.check();
      const suspended = [{ forMs: sleepMs, isConfirmed: true }];
      assert.deepEqual(machine.suspended, suspended);
      machine.run(2000);
      assert.equal(machine.clock.now(), machine.trueNow);
      assert.equal(machine.suspended.length, 1);
    }
  }
});

test("a step of the wall clock moves no deadline and causes a refresh if it is forward", () => {
  for (const stepMs of [-3000, 500, 3000, 3_600_000]) {
    const machine = start();
    machine.sleep(0, stepMs);
    machine.run(2000);
    assert.equal(machine.clock.now(), machine.trueNow);
    const expected = stepMs > 0 ? [{ forMs: stepMs, isConfirmed: false }] : [];
    assert.deepEqual(machine.suspended, expected);
  }
});

test("a sleep that a step back of the wall clock hides causes a refresh within a second", () => {
  for (const sleepMs of SLEEPS_MS) {
    const machine = start();
    machine.sleep(sleepMs, -sleepMs);
    machine.run(1000);
    const expected = [{ forMs: sleepMs, isConfirmed: false }];
    assert.deepEqual(machine.suspended, expected);
    assert.equal(machine.clock.now(), machine.trueNow - sleepMs);
  }
});

test("without a clock in step that counts suspensions, a sleep causes a refresh only", () => {
  for (const bootRate of [0, 0.5, 0.99, 1.01, 3]) {
    const machine = start({ bootRate });
    assert.deepEqual(machine.suspended, []);
    machine.sleep(3000);
    machine.run(60_000);
    assert.equal(machine.clock.now(), machine.trueNow - 3000);
    const expected = [{ forMs: 3000, isConfirmed: false }];
    assert.deepEqual(machine.suspended, expected);
  }
});

test("two sleeps in a row both count", () => {
  const machine = start();
  for (const sleepMs of [20_000, 500]) {
    machine.sleep(sleepMs);
    machine.run(300);
    assert.equal(machine.clock.now(), machine.trueNow);
  }
});

test("timers that were due during a sleep fire in order at the next check, the others in time", () => {
  const machine = start();
  const startedAt = machine.trueNow;
  const fired: string[] = [];
  const schedule = (delayMs: number) =>
    machine.clock.after(delayMs, () => {
      fired.push(`${delayMs} at ${machine.trueNow - startedAt}`);
    });
  const cancel = schedule(2500);
  for (const delayMs of [9000, 100, 4000, 2000]) schedule(delayMs);
  machine.run(50);
  machine.sleep(3000);
  cancel();
  machine.suspensions.check();
  machine.run(1);
  assert.deepEqual(fired, ["100 at 3050", "2000 at 3050"]);
  machine.run(10_000);
  assert.deepEqual(fired.slice(2), ["4000 at 4000", "9000 at 9000"]);
});

test("a sleep is noticed when the next timer fires", () => {
  const machine = start();
  const fired: number[] = [];
  machine.clock.after(10, () => undefined);
  machine.clock.after(15_000, () => fired.push(machine.trueNow));
  machine.sleep(20_000);
  machine.run(10);
  assert.equal(fired.length, 1);
});

/** Something that ends; the result tells whether it still counts. */
type Expiring = {
  readonly ttlMs: number;
  readonly begin: (clock: Clock) => () => boolean;
};

const ENTRY = replicaEntry("a");

function ledgerEntry(expiresAt: number): LedgerEntry {
  return {
    id: "request",
    service: "s",
    host: "host",
    decode: "a",
    tokens: 10,
    prefill: undefined,
    prefilledBy: undefined,
    promptTokens: 1,
    outputTokens: 1,
    priority: 0,
    customer: "",
    key: "",
    tokensAhead: 0,
    grantedAt: 0,
    expiresAt,
  };
}

const EXPIRING: Readonly<Record<string, Expiring>> = {
  "a deadline": {
    ttlMs: 2000,
    begin: (clock) => {
      const deadline = clock.now() + 2000;
      return () => deadline > clock.now();
    },
  },
  "a reservation at a planner": {
    ttlMs: 2000,
    begin: (clock) => {
      const ledger = new Ledger();
      ledger.add(ledgerEntry(clock.now() + 2000));
      return () => {
        ledger.expire(clock.now());
        return ledger.reservedTokensAt("a") > 0;
      };
    },
  },
  "a kept summary": {
    ttlMs: MAX_SUMMARY_AGE_MS,
    begin: (clock) => {
      const kept = new KeptSummaries();
      const message = { type: "rates", service: "s", summary: {}, ageMs: 0 };
      kept.keep(message as Parameters<typeof kept.keep>[0], clock.now());
      return () => kept.get("s", clock.now()) !== undefined;
    },
  },
  "the interval between summaries": {
    ttlMs: 2000,
    begin: (clock) => {
      const keepers = new SummaryKeepers();
      keepers.noteRequest("s", { host: "a", hall: "h" }, clock.now());
      return () => keepers.due("s", clock.now()).length === 0;
    },
  },
  "a backoff": {
    ttlMs: 2000,
    begin: (clock) => {
      const backoffs = new Backoffs(() => 0);
      backoffs.start("a", 2000, clock.now());
      return () => backoffs.leftMs("a", clock.now()) > 0;
    },
  },
  "a pause after failures": {
    ttlMs: 400,
    begin: (clock) => {
      const replica = new Replica(ENTRY);
      replica.noteFailure(clock.now(), true);
      return () => replica.isPaused(clock.now());
    },
  },
  "a retry in its window": {
    ttlMs: 10_000,
    begin: (clock) => {
      const rule = { windowMs: 10_000, ratio: 0, extra: 1.25 };
      const budget = new RetryBudget(rule, -Infinity);
      budget.acquire("s", 1, clock.now());
      return () => !budget.acquire("s", 1, clock.now());
    },
  },
  "a stream's record": {
    ttlMs: 2000,
    begin: (clock) => {
      const table = new VersionTable();
      const stream = { service: "s", id: "1" };
      table.set({
        stream,
        softwareVersion: "v",
        origin: "host",
        order: 1,
        isContradicted: false,
        expiresAt: clock.now() + 2000,
      }, clock.now());
      return () => table.get(stream, clock.now()) !== undefined;
    },
  },
  "an intact path": {
    ttlMs: 1000,
    begin: (clock) => {
      const table = new PathTable();
      table.noteIntact("a", clock.now());
      return () => !table.startCheck("a", clock.now());
    },
  },
  "the order of limits": {
    ttlMs: 1000,
    begin: (clock) => {
      const table = new LimitTable();
      const header = { type: "limit", perSecond: 1 } as const;
      const sentAt = clock.now();
      table.observe({ incarnation: "a", header, sentAt }, sentAt);
      return () =>
        table.merge([{ incarnation: "a", perSecond: 2, at: clock.now() }])
          .length === 0;
    },
  },
};

for (const [name, { ttlMs, begin }] of Object.entries(EXPIRING)) {
  for (const sleepMs of SLEEPS_MS) {
    test(`${name} ends in time if the machine sleeps for ${sleepMs} ms`, () => {
      const machine = start();
      const startedAt = machine.trueNow;
      const counts = begin(machine.clock);
      machine.run(10);
      machine.sleep(sleepMs);
      const hasEnded = machine.trueNow - startedAt > ttlMs;
      assert.equal(counts(), !hasEnded);
      if (hasEnded) return;
      machine.run(ttlMs - (machine.trueNow - startedAt) + 1);
      assert.equal(counts(), false);
    });
  }
}
